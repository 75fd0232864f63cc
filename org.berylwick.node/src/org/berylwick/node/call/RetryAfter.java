package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/** When a refused caller should retry. */
final class RetryAfter {
    /** Stands for a wait of which nothing is known. */
    static final long UNKNOWN_NANOS = Long.MAX_VALUE;

    private static final double MIN_SECONDS = 0.05;
    private static final double MAX_SECONDS = 1.0;
    private static final double DEFAULT_SECONDS = 0.25;
    /**
     * Least time as a share of the time that the caller has left. A caller that returns earlier mostly meets those that
     * were refused with it, while the queue that refused it is still full.
     */
    private static final double MIN_REMAINING_SHARE = 0.1;

    /** Latest time for an organisation above its share, as a multiple of the middle one; the earliest is 0.5. */
    private static final double MAX_SPREAD = 1.5;

    private RetryAfter() {}

    /**
     * Returns the time until a slot is free, with jitter, so that callers refused at the same time do not all retry at
     * the same time.
     *
     * @param waitNanos expected wait for a slot, or {@link #UNKNOWN_NANOS}
     * @param remainingNanos time left until the caller's deadline
     * @param random uniform in [0, 1)
     */
    static double untilSlot(long waitNanos, long remainingNanos, double random) {
        double waitSeconds = waitNanos == UNKNOWN_NANOS ? DEFAULT_SECONDS : waitNanos / 1e9;
        double seconds = Math.max(waitSeconds, MIN_REMAINING_SHARE * remainingNanos / 1e9);
        return Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, seconds * (0.75 + 0.5 * random)));
    }

    /**
     * Returns the time for a caller whose organisation asks for more than its share. It grows with the excess, and is
     * spread wider, so that not all that is refused returns together to the same few slots.
     *
     * @param waitNanos expected wait for a slot, or {@link #UNKNOWN_NANOS}
     * @param remainingNanos time left until the caller's deadline
     * @param factor demand of the organisation as a multiple of its share; with 1, the usual time is returned
     * @param random uniform in [0, 1)
     */
    static double untilShare(long waitNanos, long remainingNanos, double factor, double random) {
        if (factor <= 1) {
            return untilSlot(waitNanos, remainingNanos, random);
        }
        double slotSeconds = waitNanos == UNKNOWN_NANOS ? DEFAULT_SECONDS : waitNanos / 1e9;
        double excessSeconds = factor * MIN_REMAINING_SHARE * remainingNanos / 1e9;
        double middleSeconds = Math.min(MAX_SECONDS / MAX_SPREAD, Math.max(slotSeconds, excessSeconds));
        return Math.max(MIN_SECONDS, middleSeconds * (MAX_SPREAD - 1 + random));
    }

    /** Returns the headers of a refusal, which tell the caller when to retry. */
    static HttpHeaders headers(double seconds) {
        return Headers.empty().set("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
    }
}
