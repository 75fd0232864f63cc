package org.berylwick.internal.retry;

import java.util.random.RandomGenerator;

/**
 * Delay before a request is sent again to a member that has already refused it.
 *
 * <p>Exponential backoff with full jitter: a random delay between zero and a bound that doubles with each round, so
 * that requests refused at the same time are not retried at the same time.
 *
 * @param baseMillis bound of the delay in the first round
 * @param maxMillis upper limit of the bound in all rounds
 */
public record Backoff(long baseMillis, long maxMillis) {
    private static final int MAX_DOUBLINGS = 30;

    /**
     * Returns a random delay.
     *
     * @param round number of delays before this one, from 0
     * @return milliseconds
     */
    public long delayMillis(int round, RandomGenerator random) {
        long bound = Math.min(maxMillis, baseMillis << Math.min(round, MAX_DOUBLINGS));
        return random.nextLong(bound + 1);
    }
}
