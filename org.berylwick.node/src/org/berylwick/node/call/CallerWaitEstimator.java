package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a caller had already been waiting before it sent a request, from the longest timeout seen on the
 * same route. Confined to the event loop.
 *
 * <p>A caller that was refused retries with a new request whose timeout is the remaining time. Its latency objective
 * counts from the first attempt, so the shorter timeout identifies requests whose objective can no longer be met.
 */
final class CallerWaitEstimator {
    private static final int MAX_ROUTES = 2_000;
    /**
     * Smaller differences between timeouts are caused by rounding, network delay, or a nested call whose parent request
     * has little time left. A caller that was refused retries after 50 ms at the earliest.
     */
    private static final long TOLERANCE_NANOS = 45_000_000L;

    private final Map<String, Long> longestTimeoutByRoute = new HashMap<>();

    /**
     * Returns by how much the timeout is shorter than the longest on the route: how long the caller had been waiting
     * before it sent the request, or a smaller difference that has other causes.
     *
     * @param routeName name of the route of the request
     * @param timeoutNanos how long the caller will wait from now on
     */
    long waitedNanos(String routeName, long timeoutNanos) {
        if (longestTimeoutByRoute.size() >= MAX_ROUTES) {
            longestTimeoutByRoute.clear();
        }
        long fullTimeoutNanos = longestTimeoutByRoute.merge(routeName, timeoutNanos, Math::max);
        return fullTimeoutNanos - timeoutNanos;
    }

    /** Returns the time for which a caller had certainly been waiting, 0 for a first attempt. */
    static long withoutTolerance(long waitedNanos) {
        return waitedNanos < TOLERANCE_NANOS ? 0 : waitedNanos;
    }
}
