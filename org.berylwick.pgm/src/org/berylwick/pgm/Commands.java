package org.berylwick.pgm;

import java.util.List;

/** The catalogue of commands, in the order in which help lists them. */
final class Commands {
    /** All of them. */
    static final List<Command> ALL = List.of(
            new Apply(),
            new Validate(),
            new Get(),
            new Diff(),
            new History(),
            new Rollback(),
            new Status(),
            new Route(),
            new Members(),
            new Drain(),
            new Undrain(),
            new Audit(),
            new Explain(),
            new Completion());

    private Commands() {}

    /** The command that {@code name} calls. */
    static Command find(String name) {
        return ALL.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
    }
}
