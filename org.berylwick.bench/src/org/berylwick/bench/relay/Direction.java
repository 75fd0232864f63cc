package org.berylwick.bench.relay;

/** Which way bytes go through a relay. */
public enum Direction {
    /** From the one who connected to the target. */
    TO_TARGET,
    /** From the target back. */
    FROM_TARGET
}
