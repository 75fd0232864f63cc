package org.berylwick.transport;

/** What must hold of an object for a write to it to take effect. */
public sealed interface Precondition {
    /** Anything. */
    record None() implements Precondition {}

    /** There is no such object. */
    record MustBeAbsent() implements Precondition {}

    /** The object is in exactly this state. */
    record MustHaveVersion(long version) implements Precondition {}
}
