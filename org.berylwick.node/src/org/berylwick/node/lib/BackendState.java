package org.berylwick.node.lib;

/** What is known of the backend server beside a node. */
public enum BackendState {
    /** None has announced itself. */
    ABSENT,
    /** Takes work. */
    READY,
    /** Finishes what it has. */
    DRAINING;

    private static final BackendState[] VALUES = values();

    /** The state with an ordinal; {@link #ABSENT} for one that is not known. */
    public static BackendState fromOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : ABSENT;
    }
}
