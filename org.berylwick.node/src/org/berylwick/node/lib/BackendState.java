package org.berylwick.node.lib;

/** State of the backend server on the same VM as a node. */
public enum BackendState {
    /** No backend server has registered, or it has stopped sending heartbeats, or its process has ended. */
    ABSENT,
    /** Accepts new requests. */
    READY,
    /** Completes its current requests and accepts no new ones. */
    DRAINING;

    private static final BackendState[] VALUES = values();

    /** Returns the state with the given ordinal, or {@link #ABSENT} if the ordinal is unknown. */
    public static BackendState fromOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : ABSENT;
    }
}
