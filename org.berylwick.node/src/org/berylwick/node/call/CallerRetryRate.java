package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;

/**
 * Which callers come back after a refusal, learnt for each class of requests; confined to the event loop.
 *
 * <p>The load it answers is an overload: whoever comes back is best refused as soon as it would be late, as others wait
 * behind it. A call that a run makes does not come back: with its refusal the run fails, and its slot's time is wasted.
 */
final class CallerRetryRate {
    /** Weight of a new refusal; about the last fifty count. */
    private static final double SMOOTHING_FACTOR = 0.02;
    /** Before anything was seen callers are taken to come back, as they mostly do. */
    private static final double DEFAULT_RATE = 1;

    private final Map<RequestClass, Counts> byClass = new HashMap<>();

    private static final class Counts {
        private double refused = 1;
        private double retried = DEFAULT_RATE;
    }

    void onRefused(RequestClass requestClass) {
        Counts counts = byClass.computeIfAbsent(requestClass, key -> new Counts());
        counts.refused += 1 - SMOOTHING_FACTOR * counts.refused;
        counts.retried -= SMOOTHING_FACTOR * counts.retried;
    }

    void onRetried(RequestClass requestClass) {
        byClass.computeIfAbsent(requestClass, key -> new Counts()).retried++;
    }

    /** The part of those refused that come back. */
    double retryRate(RequestClass requestClass) {
        Counts counts = byClass.get(requestClass);
        return counts == null ? DEFAULT_RATE : Math.min(1, counts.retried / counts.refused);
    }
}
