package org.berylwick.internal.limit;

/** Why the limiter refused a request; finer than what the caller is told. */
public enum RefusalCause {
    /** The deadline had passed on arrival, or passed before a slot came free. */
    EXPIRED,
    /** By the measured pace a slot would have come too late. */
    TOO_SLOW,
    /** No place in the queue. */
    QUEUE_FULL,
    /** Gave its place in the queue back to a class that was owed it. */
    EVICTED
}
