package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/**
 * One kind of thing that a process logs.
 *
 * <p>Numbers never change meaning: 1xxx life of the process, 2xxx versions, 3xxx membership, 4xxx calls, 5xxx the
 * platform's store, 6xxx operators, 9xxx invariants.
 */
public sealed interface Event
        permits ProcessEvent, VersionEvent, MembershipEvent, CallEvent, StoreEvent, OperatorEvent, InvariantEvent {
    /** Unique, with the area as its thousands. */
    int number();

    /** How serious it is. */
    Level level();

    /** The message, with {@code {}} for each value. */
    String text();

    /** The constant's name. */
    String name();
}
