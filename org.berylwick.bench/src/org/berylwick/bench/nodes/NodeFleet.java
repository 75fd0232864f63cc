package org.berylwick.bench.nodes;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.berylwick.bench.fleet.ChildProcess;
import org.berylwick.standin.objects.BackendVm;
import org.berylwick.standin.objects.ObjectApiServer;
import org.berylwick.standin.objects.PlatformFiles;
import org.berylwick.standin.objects.RunBook;

/** Nodes as processes on loopback addresses, each with a backend server beside it, and a store of objects. */
final class NodeFleet implements AutoCloseable {
    static final String HOST = "soak.example";
    static final int GRACE_MILLIS = 4_000;
    private static final int DRAIN_MILLIS = 1_000;
    private static final int SLOTS = 4;
    private static final double WIDE_MBPS = 1_000;
    private static final int FIRST_HOST = 10;

    private final ObjectApiServer store = new ObjectApiServer();
    private final RunBook book = new RunBook(DRAIN_MILLIS);
    private final Path folder = Files.createTempDirectory("nodes");
    private final int[] ports;
    private final int net;
    private final List<Vm> vms = new ArrayList<>();
    private long version;

    /** One VM: its backend server, and the node's process while it runs. */
    static final class Vm {
        private final int number;
        private final BackendVm backend;
        private final ObjectApiServer.ClientPort storePort;
        private final Path settings;
        private volatile ChildProcess process;
        private volatile int life;
        private final PrintWriter log;

        private Vm(int number, BackendVm backend, ObjectApiServer.ClientPort storePort, Path settings)
                throws IOException {
            this.number = number;
            this.backend = backend;
            this.storePort = storePort;
            this.settings = settings;
            this.log =
                    new PrintWriter(Files.newBufferedWriter(settings.resolveSibling("node-" + number + ".log")), true);
        }

        /** Writes a line of the soak among those of the node. */
        void note(String line) {
            log.println(System.currentTimeMillis() + " " + line);
        }

        int number() {
            return number;
        }

        BackendVm backend() {
            return backend;
        }

        /** Where its node reaches the store. */
        ObjectApiServer.ClientPort storePort() {
            return storePort;
        }

        /** Counts starts of the node. */
        int life() {
            return life;
        }

        ChildProcess process() {
            return process;
        }
    }

    /**
     * Starts all.
     *
     * @param count of VMs, in two availability zones and two services
     * @param net second number of the loopback addresses
     */
    NodeFleet(int count, int net) throws IOException {
        this(count, net, WIDE_MBPS);
    }

    /**
     * Starts all.
     *
     * @param count of VMs, in two availability zones and two services
     * @param net second number of the loopback addresses
     * @param linkMbps width of the VMs' links, as their settings say; the loopback link is wide
     */
    NodeFleet(int count, int net, double linkMbps) throws IOException {
        this.net = net;
        this.ports = freePorts();
        accept();
        for (int i = 0; i < count; i++) {
            BackendVm backend =
                    new BackendVm(ip(i), i % 2 == 0 ? "alpha" : "beta", SLOTS, ip(i) + ":" + ports[3], book);
            Path settings = folder.resolve("node-" + i + ".json");
            PlatformFiles.Vm vm = new PlatformFiles.Vm(
                    "node-" + i,
                    ip(i),
                    i % 4 < 2 ? "zone-a" : "zone-b",
                    i % 2 == 0 ? "alpha" : "beta",
                    backend.port(),
                    linkMbps);
            ObjectApiServer.ClientPort storePort = store.openClientPort();
            Files.writeString(
                    settings,
                    PlatformFiles.settings(vm, ports, storePort.number(), DRAIN_MILLIS / 1e3, GRACE_MILLIS / 1e3));
            Vm started = new Vm(i, backend, storePort, settings);
            vms.add(started);
            start(started);
        }
    }

    private static int[] freePorts() throws IOException {
        int[] found = new int[6];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < found.length; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            held.add(socket);
            found[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return found;
    }

    private String ip(int number) {
        return "127." + net + ".0." + (FIRST_HOST + number);
    }

    /** Holds the settings and the log of each node. */
    Path folder() {
        return folder;
    }

    List<Vm> vms() {
        return vms;
    }

    ObjectApiServer store() {
        return store;
    }

    RunBook book() {
        return book;
    }

    InetSocketAddress callers(Vm vm) {
        return new InetSocketAddress(ip(vm.number()), ports[1]);
    }

    InetSocketAddress readiness(Vm vm) {
        return new InetSocketAddress(ip(vm.number()), ports[2]);
    }

    /** Starts the node of a VM; the one before it has ended. */
    void start(Vm vm) {
        Path launcher =
                Path.of(System.getProperty("berylwick.top", "."), "org.berylwick.node", "target", "berylwick-node");
        List<String> command = List.of(
                launcher.toString(),
                System.getProperty("java.home"),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+PerfDisableSharedMem",
                "-Xmx72m",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-cp",
                System.getProperty("java.class.path"),
                "org.berylwick.platform.Main");
        vm.life++;
        vm.backend().disown();
        vm.process = ChildProcess.start(
                "node-" + vm.number(), Map.of(PlatformFiles.SETTINGS_VARIABLE, vm.settings.toString()), command);
        vm.note("started");
        vm.process.onLine(vm.log::println);
    }

    /** The number of the newest version. */
    synchronized long version() {
        return version;
    }

    /** Has a version accepted that adds a route {@code /vN/}, and returns its number. */
    synchronized long accept() {
        version++;
        store.put("config", "main", PlatformFiles.configuration(HOST, version));
        return version;
    }

    @Override
    public void close() throws IOException {
        for (Vm vm : vms) {
            vm.process().process().destroyForcibly();
            vm.backend().close();
            vm.log.close();
        }
        store.close();
    }
}
