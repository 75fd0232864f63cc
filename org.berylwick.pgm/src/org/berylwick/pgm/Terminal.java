package org.berylwick.pgm;

import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;

/**
 * Where a command prints, and what surrounds it.
 *
 * @param out results
 * @param err progress, and what went wrong
 * @param environment variables
 * @param interactive whether a person looks at the output, so that it may be coloured and redrawn
 */
record Terminal(PrintStream out, PrintStream err, Map<String, String> environment, boolean interactive) {
    private static final String BOLD = "\u001b[1m";
    private static final String PLAIN = "\u001b[0m";
    private static final String CLEAR = "\u001b[H\u001b[2J";

    /** This process's terminal. */
    static Terminal ofProcess() {
        return new Terminal(System.out, System.err, System.getenv(), System.console() != null);
    }

    Optional<String> variable(String name) {
        return Optional.ofNullable(environment.get(name)).filter(v -> !v.isEmpty());
    }

    /** Prints a line of results. */
    void print(String line) {
        out.println(line);
    }

    /** Prints a message about what went wrong, or what to do. */
    void tell(Message message, Object... values) {
        err.println(Messages.text(Message.PREFIX, Messages.text(message, values)));
    }

    /** The text in bold where that is wanted. */
    String bold(String text) {
        return coloured() ? BOLD + text + PLAIN : text;
    }

    /** Empties the screen if there is one. */
    void clear() {
        if (coloured()) {
            out.print(CLEAR);
        }
    }

    private boolean coloured() {
        return interactive && variable("NO_COLOR").isEmpty() && !"dumb".equals(environment.get("TERM"));
    }
}
