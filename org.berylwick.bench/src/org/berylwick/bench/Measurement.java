package org.berylwick.bench;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One measurement that {@link Measure} can run. */
public interface Measurement {
    /** The word that calls it. */
    String name();

    /** Declares its help and arguments. */
    void declare(Subparser parser);

    /** Runs it and prints its figures, one {@code key: value} a line. */
    void run(Namespace options, PrintStream out) throws Exception;
}
