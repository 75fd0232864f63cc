package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;

/**
 * Estimates response sizes and response times from the responses that this node received. Confined to the event loop.
 *
 * <p>Routes with the same kind, latency objective and priority share an estimate, as there are too many routes to keep
 * one for each.
 */
final class ResponseEstimator {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double DEFAULT_BYTES = 4_000;
    private static final double DEFAULT_BULK_BYTES = 100_000;
    /** Response time assumed before the first response, as a fraction of the latency objective. */
    private static final double DEFAULT_OBJECTIVE_FRACTION = 0.35;

    /** Response time assumed before the first response on routes without a latency objective. */
    private static final long DEFAULT_NANOS = 150_000_000L;

    /** The slowest responses of a healthy server take up to this multiple of the mean response time. */
    private static final int SLOW_RESPONSE_FACTOR = 5;
    /** Factor by which each response time reduces the weight of a longer one before it. */
    private static final double SLOWEST_DECAY_FACTOR = 0.98;

    private final Map<String, double[]> meanBytesByClass = new HashMap<>();
    private final Map<String, double[]> meanNanosByClass = new HashMap<>();
    private final Map<String, Double> slowestNanosByClass = new HashMap<>();

    void recordBytes(Route route, int bytes) {
        updateMean(meanBytesByClass, route, bytes);
    }

    /** Records the response time of a request that did not have to wait for a slot. */
    void recordNanos(Route route, long nanos) {
        updateMean(meanNanosByClass, route, nanos);
        slowestNanosByClass.merge(
                key(route), (double) nanos, (slowest, latest) -> Math.max(slowest * SLOWEST_DECAY_FACTOR, latest));
    }

    private static void updateMean(Map<String, double[]> meansByClass, Route route, double value) {
        double[] mean = meansByClass.computeIfAbsent(key(route), k -> new double[] {value});
        mean[0] += SMOOTHING_FACTOR * (value - mean[0]);
    }

    double expectedBytes(Route route) {
        double[] mean = meanBytesByClass.get(key(route));
        if (mean != null) {
            return mean[0];
        }
        return route.kind() == RouteKind.BULK ? DEFAULT_BULK_BYTES : DEFAULT_BYTES;
    }

    double expectedNanos(Route route) {
        double[] mean = meanNanosByClass.get(key(route));
        if (mean != null) {
            return mean[0];
        }
        return route.objectiveNanos() == 0 ? DEFAULT_NANOS : DEFAULT_OBJECTIVE_FRACTION * route.objectiveNanos();
    }

    /** Returns a response time that few requests exceed: a multiple of the mean, or that of the slowest recent one. */
    double slowestNanos(Route route) {
        return Math.max(SLOW_RESPONSE_FACTOR * expectedNanos(route), slowestNanosByClass.getOrDefault(key(route), 0.0));
    }

    private static String key(Route route) {
        return route.kind().ordinal() + "/" + route.objectiveNanos() + "/" + route.priority();
    }
}
