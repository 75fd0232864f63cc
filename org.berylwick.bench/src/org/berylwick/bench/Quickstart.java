package org.berylwick.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.quickstart.Tour;

/** Runs one of the examples as separate processes and shows every step of it. */
public final class Quickstart {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_INPUT = 2;

    private Quickstart() {}

    /** The entry point. */
    public static void main(String[] args) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("quickstart").build();
        parser.addArgument("example")
                .nargs("?")
                .choices("silong", "fumee-claire")
                .setDefault("silong");
        parser.addArgument("--keep").action(Arguments.storeTrue()).help("leave everything running until interrupted");
        try {
            System.exit(run(parser.parseArgs(args), System.out));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
        }
    }

    private static int run(Namespace options, PrintStream out) throws Exception {
        Path top = Path.of(System.getProperty("berylwick.top", "."));
        Fleet fleet = new Fleet();
        Tour tour = new Tour(top, options.getString("example"), fleet, out);
        try (fleet) {
            tour.run();
            if (options.getBoolean("keep")) {
                tour.printAddresses();
                new CountDownLatch(1).await();
            }
        } catch (IllegalStateException e) {
            out.println("quickstart failed: " + e.getMessage());
            return EXIT_FAILED;
        }
        tour.printStopped();
        return 0;
    }
}
