package org.berylwick.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.logging.log4j.LogManager;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.errors.Fault;
import org.berylwick.lib.Result;

/** Starts a daemon from its settings file and stops it on SIGTERM. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;

    private Main() {}

    /** The entry point of {@code berylwickd}. */
    public static void main(String[] args) throws InterruptedException {
        PrintStream err = System.err;
        ArgumentParser parser =
                ArgumentParsers.newFor("berylwickd").build().description("The daemon beside one backend server.");
        parser.addArgument("--settings").required(true).help("the settings file, TOML");
        try {
            Namespace options = parser.parseArgs(args);
            System.exit(run(Path.of(options.getString("settings")), err));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
        }
    }

    private static int run(Path file, PrintStream err) throws InterruptedException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            err.println("berylwickd: cannot read " + file + ": " + e);
            return EXIT_BAD_INPUT;
        }
        return switch (SettingsReader.read(file.toString(), text)) {
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) -> {
                faults.forEach(f -> err.println("berylwickd: " + f));
                yield EXIT_BAD_INPUT;
            }
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings settings) -> {
                serve(settings);
                yield 0;
            }
        };
    }

    private static void serve(DaemonSettings settings) throws InterruptedException {
        BerylwickDaemon daemon = new BerylwickDaemon(settings);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.close();
                            LogManager.shutdown();
                            // A stop on SIGTERM that finished everything is a success; left to itself the virtual
                            // machine would exit with the signal's number, which supervisors take for a failure.
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown"));
        daemon.start();
        stopped.await();
    }
}
