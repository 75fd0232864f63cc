package org.berylwick.internal.spread;

import java.util.random.RandomGenerator;

/**
 * Waits between tries: uniformly random between nothing and a bound that doubles with each failure.
 *
 * <p>Full jitter spreads a herd that failed at one moment over the whole interval; equal waits would bring it back as
 * one.
 */
public final class Backoff {
    private final RandomGenerator random;
    private final long initialMillis;
    private final long maxMillis;
    private int failures;

    /**
     * No failures yet.
     *
     * @param initialMillis bound of the first wait
     * @param maxMillis bound of any wait
     */
    public Backoff(RandomGenerator random, long initialMillis, long maxMillis) {
        this.random = random;
        this.initialMillis = initialMillis;
        this.maxMillis = maxMillis;
    }

    /** Notes a failure; tells how long to wait, in milliseconds. */
    public long nextDelayMillis() {
        long bound = Math.min(maxMillis, initialMillis << Math.min(failures, 20));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Notes a success. */
    public void reset() {
        failures = 0;
    }
}
