package org.berylwick.standin;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.berylwick.lib.HostPort;
import org.berylwick.standin.backend.BackendOptions;
import org.berylwick.standin.backend.BackendServer;
import org.berylwick.standin.backend.RunLedger;
import org.berylwick.standin.platform.PlatformServer;

/** Runs one stand-in by hand; prints {@code ready NAME HOST:PORT} for each address once it listens. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;

    private Main() {}

    /** The entry point. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("berylwick-standin")
                .build()
                .description("Stands in for the platform's object API or for backend servers; see docs/STANDINS.md.");
        Subparsers commands = parser.addSubparsers().dest("standin").metavar("STANDIN");
        declarePlatform(commands.addParser("platform").help("the platform's object API"));
        declareBackend(commands.addParser("backend").help("backend servers, all in one process"));
        try {
            run(parser.parseArgs(args), System.out);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
        }
    }

    private static void declarePlatform(Subparser parser) {
        parser.addArgument("--listen").setDefault("127.0.0.1:0").help("HOST:PORT, port 0 for a free one");
        parser.addArgument("--reads-per-s").type(Integer.class).setDefault(0).help("limit of reads, 0 for none");
        parser.addArgument("--writes-per-s").type(Integer.class).setDefault(0).help("limit of writes, 0 for none");
    }

    private static void declareBackend(Subparser parser) {
        parser.addArgument("--listen").setDefault("127.0.0.1:0").help("port 0 for a free one each");
        parser.addArgument("--slots").type(Integer.class).setDefault(12).help("requests run at once");
        parser.addArgument("--connections").type(Integer.class).setDefault(110).help("connections accepted at once");
        parser.addArgument("--service-time-ms")
                .type(Integer.class)
                .setDefault(2)
                .help("how long a request takes");
        parser.addArgument("--connection-time-us")
                .type(Integer.class)
                .setDefault(1_000)
                .help("processor time of a new connection");
        parser.addArgument("--cold-ms").type(Integer.class).setDefault(0).help("how long the cold start lasts");
        parser.addArgument("--cold-extra-ms")
                .type(Integer.class)
                .setDefault(0)
                .help("how much longer a request takes meanwhile");
        parser.addArgument("instances").nargs("+").help("instance names");
    }

    private static void run(Namespace options, PrintStream out) throws InterruptedException {
        HostPort listen = HostPort.fromString(options.getString("listen"));
        if ("platform".equals(options.getString("standin"))) {
            runPlatform(options, listen, out);
        } else {
            runBackends(options, listen, out);
        }
        new CountDownLatch(1).await();
    }

    private static void runPlatform(Namespace options, HostPort listen, PrintStream out) {
        PlatformServer server = new PlatformServer(listen);
        server.setRates(options.getInt("reads_per_s"), options.getInt("writes_per_s"));
        server.start();
        out.println("ready platform-control " + server.controlAddress());
        out.println("ready platform " + server.address());
    }

    private static void runBackends(Namespace options, HostPort listen, PrintStream out) {
        BackendOptions backend = new BackendOptions(
                options.getInt("slots"),
                options.getInt("connections"),
                Duration.ofMillis(options.getInt("service_time_ms")),
                Duration.ofNanos(options.getInt("connection_time_us") * 1_000L),
                Duration.ofMillis(options.getInt("cold_ms")),
                Duration.ofMillis(options.getInt("cold_extra_ms")));
        RunLedger ledger = new RunLedger();
        for (Object name : options.getList("instances")) {
            BackendServer server = new BackendServer((String) name, listen, backend, ledger);
            server.start();
            out.println("ready " + name + " " + server.address());
        }
    }
}
