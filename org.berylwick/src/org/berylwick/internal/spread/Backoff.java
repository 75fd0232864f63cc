package org.berylwick.internal.spread;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is uniformly random between zero and a bound that doubles with every
 * failure.
 *
 * <p>Full jitter spreads the retries of many clients that failed at the same moment over the whole interval. With equal
 * delays they would all retry at the same moment again.
 */
public final class Backoff {
    private final RandomGenerator random;
    private final long initialMillis;
    private final long maxMillis;
    private int failures;

    /**
     * Creates a backoff with no recorded failures.
     *
     * @param random source of the jitter
     * @param initialMillis upper bound of the first delay
     * @param maxMillis upper bound of every delay
     */
    public Backoff(RandomGenerator random, long initialMillis, long maxMillis) {
        this.random = random;
        this.initialMillis = initialMillis;
        this.maxMillis = maxMillis;
    }

    /** Records a failure and returns the delay before the next attempt, in milliseconds. */
    public long nextDelayMillis() {
        long bound = Math.min(maxMillis, initialMillis << Math.min(failures, 20));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Records a success: the next delay is bounded by the initial bound again. */
    public void reset() {
        failures = 0;
    }
}
