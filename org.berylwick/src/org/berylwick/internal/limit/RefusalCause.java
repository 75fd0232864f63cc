package org.berylwick.internal.limit;

/** Why the limiter refused a request; more detailed than the reason that the caller receives. */
public enum RefusalCause {
    /** The deadline had passed on arrival, or it became too late to start before a slot was free. */
    EXPIRED,
    /** According to the mean hold time, no slot would have been free in time. */
    TOO_SLOW,
    /** The queue was full. */
    QUEUE_FULL,
    /** Removed from a full queue in favour of a class below its guaranteed share of the queue. */
    EVICTED
}
