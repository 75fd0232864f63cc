package org.berylwick.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.berylwick.lib.HostPort;

/** A platform stand-in, backend servers and their daemons, all on loopback with free ports. */
public final class Fleet implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Pattern DAEMON_READY =
            Pattern.compile("listening callers=(\\S+) peers=(\\S+) admin=([0-9.:]+)");

    private final Path top;
    private final Path folder;
    private final Map<String, ChildProcess> daemons = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, DaemonAddresses> addresses = new ConcurrentHashMap<>();
    private final Map<String, HostPort> backends = new LinkedHashMap<>();
    private final List<ChildProcess> standins = new ArrayList<>();
    private final Thread closeAtExit = new Thread(this::close, "fleet-close");
    private HostPort platform;
    private boolean closed;

    /** Where one daemon listens. */
    public record DaemonAddresses(HostPort callers, HostPort peers, HostPort admin) {}

    /** An empty fleet with a folder of its own for settings files. */
    public Fleet() {
        top = Path.of(System.getProperty("berylwick.top", "."));
        try {
            folder = Files.createTempDirectory("berylwick-fleet");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // Whoever is interrupted would otherwise leave the processes running.
        Runtime.getRuntime().addShutdownHook(closeAtExit);
    }

    /** Starts everything that the plan names, daemons side by side, and waits until all listen. */
    public void start(FleetPlan plan) {
        startPlatform();
        startBackends(plan, List.of());
        plan.instances().forEach(this::startDaemon);
        plan.instances().forEach(i -> awaitDaemon(i.name()));
    }

    /** Starts the platform's stand-in. */
    public void startPlatform() {
        ChildProcess child = startStandin("platform", List.of("platform"));
        platform = HostPort.fromString(child.awaitLine(Pattern.compile("ready platform (\\S+)"), START_TIMEOUT)
                .group(1));
    }

    /** Starts one process with a backend server for each instance. */
    public void startBackends(FleetPlan plan, List<String> options) {
        List<String> arguments = new ArrayList<>(List.of("backend"));
        arguments.addAll(options);
        plan.instances().forEach(i -> arguments.add(i.name()));
        ChildProcess child = startStandin("backends", arguments);
        for (FleetPlan.Instance i : plan.instances()) {
            Matcher m = child.awaitLine(Pattern.compile("ready " + i.name() + " (\\S+)"), START_TIMEOUT);
            backends.put(i.name(), HostPort.fromString(m.group(1)));
        }
    }

    private synchronized ChildProcess startStandin(String name, List<String> arguments) {
        requireOpen();
        List<String> command = new ArrayList<>();
        command.add(top.resolve("bin/berylwick-standin").toString());
        command.addAll(arguments);
        ChildProcess child = ChildProcess.start(name, Map.of(), command);
        standins.add(child);
        return child;
    }

    /** Starts one daemon without waiting for it. */
    public void startDaemon(FleetPlan.Instance i) {
        startDaemon(i, "", Map.of());
    }

    /** Starts one daemon without waiting for it, with more settings and a larger environment. */
    public ChildProcess startDaemon(FleetPlan.Instance i, String moreSettings, Map<String, String> environment) {
        return startDaemon(i, new DaemonLinks(backends.get(i.name()), platform), moreSettings, environment);
    }

    /** Starts one daemon without waiting for it, over links of its own. */
    public ChildProcess startDaemon(FleetPlan.Instance i, DaemonLinks links, String moreSettings) {
        return startDaemon(i, links, moreSettings, Map.of());
    }

    /**
     * Starts one daemon without waiting for it, in place of an ended one of the same name if there was one.
     *
     * @param moreSettings TOML tables for the daemon's settings
     * @param environment added to this process's own
     */
    public synchronized ChildProcess startDaemon(
            FleetPlan.Instance i, DaemonLinks links, String moreSettings, Map<String, String> environment) {
        requireOpen();
        String settings = SettingsText.of(i, links, moreSettings);
        Path file = folder.resolve(i.name() + ".toml");
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<String> command = List.of(top.resolve("bin/berylwickd").toString(), "--settings", file.toString());
        ChildProcess child = ChildProcess.start(i.name(), environment, command);
        daemons.put(i.name(), child);
        return child;
    }

    private void requireOpen() {
        if (closed) {
            throw new IllegalStateException("the fleet is closed");
        }
    }

    /** Waits until a started daemon listens. */
    public void awaitDaemon(String name) {
        Matcher m = daemons.get(name).awaitLine(DAEMON_READY, START_TIMEOUT);
        addresses.put(
                name,
                new DaemonAddresses(
                        HostPort.fromString(m.group(1)),
                        HostPort.fromString(m.group(2)),
                        HostPort.fromString(m.group(3))));
    }

    /** The daemons by instance name. */
    public Map<String, ChildProcess> daemons() {
        return daemons;
    }

    /** Where a daemon listens. */
    public DaemonAddresses addresses(String instance) {
        return addresses.get(instance);
    }

    /** Where an instance's backend server listens. */
    public HostPort backend(String instance) {
        return backends.get(instance);
    }

    /** Where the platform's stand-in listens. */
    public HostPort platform() {
        return platform;
    }

    /** Stops the daemons gracefully, then the stand-ins, and removes the settings files. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        daemons.values().forEach(d -> d.process().destroy());
        daemons.values().forEach(ChildProcess::close);
        standins.forEach(s -> s.process().destroy());
        standins.forEach(ChildProcess::close);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
