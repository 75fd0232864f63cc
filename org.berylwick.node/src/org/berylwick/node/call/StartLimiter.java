package org.berylwick.node.call;

/**
 * Spaces the requests that an owner sends to its backend server, so that their rate stays within the limit that the
 * backend server states (generic cell rate algorithm). Without a limit nothing is delayed. Confined to the event loop.
 */
final class StartLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Requests of this time may be sent at once, so that pauses between arrivals are not lost to the limit. */
    private static final long BURST_NANOS = 250_000_000L;
    /**
     * Longest time between two requests. With a limit of 0 no response would ever arrive that could state another one.
     */
    private static final long MAX_INTERVAL_NANOS = 5_000_000_000L;

    /** Time between two requests at the limit, 0 for no limit. */
    private long intervalNanos;
    /** When the requests sent so far would have been sent at exactly the limit. */
    private long scheduledUntil;

    /** Applies another limit from now on. */
    void setLimit(RequestLimit limit, long now) {
        boolean wasUnlimited = intervalNanos == 0;
        intervalNanos = switch (limit) {
            case RequestLimit.None none -> 0;
            case RequestLimit.PerSecond rate ->
                Math.max(1, (long) Math.min(MAX_INTERVAL_NANOS, NANOS_PER_SECOND / rate.requests()));
            case RequestLimit.Invalid invalid -> intervalNanos;
        };
        // Requests that were sent under a lower limit do not delay the next one by more than the new one does.
        scheduledUntil = wasUnlimited ? now : Math.min(scheduledUntil, now + intervalNanos + BURST_NANOS);
    }

    /** Time between two requests at the limit, 0 for no limit. */
    long intervalNanos() {
        return intervalNanos;
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
        long startsAt = Math.max(scheduledUntil, now) + requestsAhead * intervalNanos - BURST_NANOS;
        return Math.max(0, startsAt - now);
    }
}
