package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;

/** One command of the command line. */
interface Command {
    /** The word that calls it. */
    String name();

    /** What it does, in one line. */
    Message help();

    /** How it is called, one example a line. */
    Message examples();

    /** Declares its arguments. */
    void declare(Options options);

    /** Runs it. */
    ExitCode run(Namespace options, Terminal terminal);
}
