package org.berylwick.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.logging.log4j.LogManager;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.daemon.warmup.WarmUp;
import org.berylwick.errors.Fault;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;

/** Starts a daemon from its settings file and stops it on SIGTERM. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;
    private static final int WARM_UP_ROUNDS = 250;

    private Main() {}

    /** The entry point of {@code berylwickd}. */
    public static void main(String[] args) throws InterruptedException {
        PrintStream err = System.err;
        ArgumentParser parser =
                ArgumentParsers.newFor("berylwickd").build().description("The daemon beside one backend server.");
        parser.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("the settings file, TOML; docs/berylwickd.sample.toml shows every key");
        parser.addArgument("--check-settings")
                .action(Arguments.storeTrue())
                .help("only check the settings: tells every fault and exits with 0 or " + EXIT_BAD_INPUT);
        try {
            Namespace options = parser.parseArgs(args);
            Path file = Path.of(options.getString("settings"));
            System.exit(run(file, options.getBoolean("check_settings"), System.out, err));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
        }
    }

    private static int run(Path file, boolean checkOnly, PrintStream out, PrintStream err) throws InterruptedException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            err.println("berylwickd: cannot read the settings file " + file + " (" + e + "); name one with --settings");
            return EXIT_BAD_INPUT;
        }
        return switch (SettingsReader.read(file.toString(), text, System.getenv())) {
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) -> {
                faults.forEach(f -> err.println("berylwickd: " + f));
                err.println("berylwickd: not started; mend the lines above and check with --check-settings");
                yield EXIT_BAD_INPUT;
            }
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings settings) -> {
                if (checkOnly) {
                    out.println(file + ": every setting is valid");
                    yield 0;
                }
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
        new WarmUp(TimeSource.SYSTEM, WARM_UP_ROUNDS).run();
        daemon.start();
        stopped.await();
    }
}
