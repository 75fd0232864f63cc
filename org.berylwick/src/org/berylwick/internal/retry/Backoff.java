package org.berylwick.internal.retry;

import java.util.random.RandomGenerator;

/**
 * Pauses before a request goes to a member that refused it already.
 *
 * <p>Full jitter: any pause between none and the bound, which doubles with each round, so that callers refused together
 * don't come back together.
 *
 * @param baseMillis bound of the first pause
 * @param maxMillis bound of all pauses
 */
public record Backoff(long baseMillis, long maxMillis) {
    private static final int MAX_DOUBLINGS = 30;

    /**
     * A pause.
     *
     * @param round how often all members were tried before, from 0
     * @return milliseconds
     */
    public long delayMillis(int round, RandomGenerator random) {
        long bound = Math.min(maxMillis, baseMillis << Math.min(round, MAX_DOUBLINGS));
        return random.nextLong(bound + 1);
    }
}
