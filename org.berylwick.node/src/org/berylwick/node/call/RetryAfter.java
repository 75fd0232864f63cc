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

    /** Returns the headers of a refusal, which tell the caller when to retry. */
    static HttpHeaders headers(double seconds) {
        return Headers.empty().set("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
    }
}
