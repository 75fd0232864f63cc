package org.berylwick.pgm;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.Subparser;

/** Declares the arguments of one command and remembers their names for shell completion. */
final class Options {
    private final Subparser parser;
    private final List<String> flags = new ArrayList<>();

    Options(Subparser parser) {
        this.parser = parser;
    }

    /** Declares an argument; names that begin with a hyphen make it an option. */
    Argument add(Message help, String... names) {
        Arrays.stream(names).filter(n -> n.startsWith("-")).forEach(flags::add);
        return parser.addArgument(names).help(Messages.text(help));
    }

    /** The options' names, in the order of their declaration. */
    List<String> flags() {
        return List.copyOf(flags);
    }
}
