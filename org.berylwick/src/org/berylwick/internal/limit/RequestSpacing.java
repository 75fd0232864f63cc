package org.berylwick.internal.limit;

import java.time.Duration;

/**
 * Spaces requests so that they stay within a stated rate (generic cell rate algorithm). Without a rate nothing is
 * delayed. Guarded by the lock of its {@link SlotLimiter}.
 */
final class RequestSpacing {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Requests of this time may be sent at once, so that pauses between arrivals are not lost. */
    private static final long BURST_NANOS = Duration.ofMillis(250).toNanos();
    /**
     * Longest time between two requests. With a rate of 0 no response would ever arrive that could state another one.
     */
    private static final long MAX_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private StatedRate rate = StatedRate.UNLIMITED;
    /** Time between two requests at the rate, 0 for no limit. */
    private long intervalNanos;
    /** When the requests sent so far would have been sent at exactly the rate. */
    private long scheduledUntil;

    /** Applies another rate from now on; returns whether it differs from the previous one. */
    boolean setRate(StatedRate newRate, long now) {
        if (newRate instanceof StatedRate.Invalid || newRate.equals(rate)) {
            return false;
        }
        boolean wasUnlimited = intervalNanos == 0;
        rate = newRate;
        intervalNanos = newRate instanceof StatedRate.PerSecond(double requests)
                ? Math.max(1, (long) Math.min(MAX_INTERVAL_NANOS, NANOS_PER_SECOND / requests))
                : 0;
        // Requests that were sent at a lower rate do not delay the next one by more than the new rate does.
        scheduledUntil = wasUnlimited ? now : Math.min(scheduledUntil, now + intervalNanos + BURST_NANOS);
        return true;
    }

    /** Records that a request is sent. */
    void onStarted(long now) {
        if (intervalNanos > 0) {
            scheduledUntil = Math.max(scheduledUntil, now) + intervalNanos;
        }
    }

    /**
     * Time until one more request may be sent.
     *
     * @param requestsAhead number of requests that will be sent before it
     */
    long waitNanos(int requestsAhead, long now) {
        if (intervalNanos == 0) {
            return 0;
        }
        return Math.max(0, Math.max(scheduledUntil, now) + requestsAhead * intervalNanos - BURST_NANOS - now);
    }
}
