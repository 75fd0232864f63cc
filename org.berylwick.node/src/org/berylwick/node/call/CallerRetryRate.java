package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;

/**
 * Estimates, for each request class, the fraction of refused callers that retry. Confined to the event loop.
 *
 * <p>This matters under overload: a request whose caller retries is best refused as soon as it would be late, because
 * others wait behind it. A call that a backend server makes while it processes another request is not retried: its
 * refusal fails that request, and the slot time spent on it is wasted.
 */
final class CallerRetryRate {
    /** Weight of a new refusal; the estimate reflects about the last fifty refusals. */
    private static final double SMOOTHING_FACTOR = 0.02;
    /** Rate assumed before the first refusal, since most callers retry. */
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

    /** Returns the fraction of refused callers that retry. */
    double retryRate(RequestClass requestClass) {
        Counts counts = byClass.get(requestClass);
        return counts == null ? DEFAULT_RATE : Math.min(1, counts.retried / counts.refused);
    }
}
