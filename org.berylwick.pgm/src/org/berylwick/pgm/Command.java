package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One command of the command line. */
interface Command {
    /** The word that calls it. */
    String name();

    /** Declares its help and arguments. */
    void declare(Subparser parser);

    /** Runs it. */
    ExitCode run(Namespace options, Terminal terminal);
}
