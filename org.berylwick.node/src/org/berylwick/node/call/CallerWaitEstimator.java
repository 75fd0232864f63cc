package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;

/**
 * How long callers of a route wait, and from that how long one has waited already; confined to the event loop.
 *
 * <p>A caller that was refused comes back as a new request that will wait for what is left. Its latency objective
 * counts from its first attempt, so a request whose objective cannot be met any more is told apart by its shorter wait.
 */
final class CallerWaitEstimator {
    private static final int MAX_ROUTES = 2_000;
    /**
     * A wait shorter by less than this is rounding, time on the way, or a call whose run has little time left; whoever
     * was refused comes back 50 ms later at the soonest.
     */
    private static final long TOLERANCE_NANOS = 45_000_000L;

    private final Map<String, Long> longestTimeoutByRoute = new HashMap<>();

    /**
     * How long the caller of a request has waited before it was sent.
     *
     * @param routeName its name
     * @param timeoutNanos how long it will wait from now on
     */
    long waitedNanos(String routeName, long timeoutNanos) {
        if (longestTimeoutByRoute.size() >= MAX_ROUTES) {
            longestTimeoutByRoute.clear();
        }
        long fullTimeoutNanos = longestTimeoutByRoute.merge(routeName, timeoutNanos, Math::max);
        long waited = fullTimeoutNanos - timeoutNanos;
        return waited < TOLERANCE_NANOS ? 0 : waited;
    }
}
