package org.berylwick.pgm;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out results
 * @param err what went wrong
 */
record Terminal(PrintStream out, PrintStream err) {}
