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
import org.berylwick.standin.backend.BackendServer;
import org.berylwick.standin.platform.PlatformServer;

/** Runs one stand-in by hand; prints {@code ready NAME HOST:PORT} for each address once it listens. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;

    private Main() {}

    /** The entry point. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("berylwick-standin").build();
        Subparsers commands = parser.addSubparsers().dest("standin").metavar("STANDIN");
        Subparser platform = commands.addParser("platform").help("the platform's object API");
        platform.addArgument("--listen").setDefault("127.0.0.1:0");
        Subparser backend = commands.addParser("backend").help("backend servers, all in one process");
        backend.addArgument("--listen").setDefault("127.0.0.1:0").help("port 0 for a free one each");
        backend.addArgument("--slots").type(Integer.class).setDefault(12);
        backend.addArgument("--service-time-ms").type(Integer.class).setDefault(2);
        backend.addArgument("instances").nargs("+").help("instance names");
        try {
            run(parser.parseArgs(args), System.out);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
        }
    }

    private static void run(Namespace options, PrintStream out) throws InterruptedException {
        HostPort listen = HostPort.fromString(options.getString("listen"));
        if ("platform".equals(options.getString("standin"))) {
            PlatformServer server = new PlatformServer(listen);
            server.start();
            out.println("ready platform " + server.address());
        } else {
            for (Object name : options.getList("instances")) {
                BackendServer server = new BackendServer(
                        (String) name,
                        listen,
                        options.getInt("slots"),
                        Duration.ofMillis(options.getInt("service_time_ms")));
                server.start();
                out.println("ready " + name + " " + server.address());
            }
        }
        new CountDownLatch(1).await();
    }
}
