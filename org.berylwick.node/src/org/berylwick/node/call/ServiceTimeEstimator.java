package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * Estimates the service times of a backend server by request class from its responses. Confined to the event loop.
 *
 * <p>Samples are taken at the speed that the backend server calls usual, and estimates given at its mean speed.
 */
final class ServiceTimeEstimator {
    /**
     * Weight of a new response in the means, which reflect about the last twenty responses. With ten, a heavy tail made
     * the mean fluctuate by a quarter; with fifty, it took seconds to notice that a backend server had become slow.
     */
    private static final double MEAN_SMOOTHING_FACTOR = 0.05;
    /** Weight of a new response in the variance, which changes less and needs more responses to be estimated. */
    private static final double VARIANCE_SMOOTHING_FACTOR = 0.02;

    /** Service time assumed before the first response, as a fraction of the latency objective. */
    private static final double DEFAULT_OBJECTIVE_FRACTION = 0.35;

    /** Service time assumed before the first response to a request without a latency objective. */
    private static final long DEFAULT_NANOS = 150_000_000L;
    /** Maximum number of request classes whose service times are sent to other nodes; a service has fewer. */
    private static final int MAX_PUBLISHED_CLASSES = 8;

    private final CurrentSpeed speed;
    private final Map<RequestClass, ClassEstimate> byClass = new HashMap<>();
    private double overallMeanNanos;
    private int responses;

    ServiceTimeEstimator(CurrentSpeed speed) {
        this.speed = speed;
    }

    private static final class ClassEstimate {
        private final RequestClass requestClass;
        private double logMean;
        private double logVariance =
                ServiceTimeDistribution.DEFAULT_LOG_STD_DEV * ServiceTimeDistribution.DEFAULT_LOG_STD_DEV;
        private int responses;

        ClassEstimate(RequestClass requestClass) {
            this.requestClass = requestClass;
        }

        void addSample(long nanos) {
            responses++;
            double logNanos = Math.log(Math.max(1, nanos));
            if (responses == 1) {
                logMean = logNanos;
                return;
            }
            double deviation = logNanos - logMean;
            logMean += Math.max(MEAN_SMOOTHING_FACTOR, 1.0 / responses) * deviation;
            logVariance += VARIANCE_SMOOTHING_FACTOR * (deviation * deviation - logVariance);
        }

        ServiceTimeDistribution distribution() {
            return new ServiceTimeDistribution(requestClass, (long) Math.exp(logMean), Math.sqrt(logVariance));
        }
    }

    /**
     * Adds the service time of a request.
     *
     * @param call the request
     * @param elapsedNanos time that it took
     * @param factor how many times as long as usual work took meanwhile
     */
    void addSample(CallSpec call, long elapsedNanos, double factor) {
        long nanos = (long) (elapsedNanos / factor);
        byClass.computeIfAbsent(call.requestClass(), ClassEstimate::new).addSample(nanos);
        responses++;
        overallMeanNanos += Math.max(MEAN_SMOOTHING_FACTOR, 1.0 / responses) * (nanos - overallMeanNanos);
    }

    /** Returns the estimated service time of a request. */
    ServiceTimeDistribution distribution(CallSpec call) {
        ClassEstimate estimate = byClass.get(call.requestClass());
        return estimate == null
                ? ServiceTimeDistribution.fromMean(call.requestClass(), defaultNanos(call.requestClass()))
                : estimate.distribution().scaledBy(speed.meanFactor());
    }

    /**
     * Returns the estimates of the request classes that were measured, up to {@link #MAX_PUBLISHED_CLASSES}.
     *
     * @param areCalls whether backend servers make the requests of a class
     */
    List<ServiceTimeDistribution> distributions(Predicate<RequestClass> areCalls) {
        List<ServiceTimeDistribution> distributions = new ArrayList<>();
        for (ClassEstimate estimate : byClass.values()) {
            if (distributions.size() < MAX_PUBLISHED_CLASSES) {
                distributions.add(estimate.distribution()
                        .scaledBy(speed.meanFactor())
                        .ofCalls(areCalls.test(estimate.requestClass)));
            }
        }
        return distributions;
    }

    /**
     * Returns the mean service time to assume for a class that was not measured. Before the first response of any
     * class, the latency objective is the best indication, since operators do not set one that is usually missed.
     */
    private long defaultNanos(RequestClass requestClass) {
        if (responses > 0) {
            return meanNanos();
        }
        return requestClass.objectiveMillis() == 0
                ? DEFAULT_NANOS
                : (long) (DEFAULT_OBJECTIVE_FRACTION * requestClass.objectiveMillis() * 1_000_000);
    }

    /** Returns the mean service time of all requests, 0 before the first response. */
    long meanNanos() {
        return (long) (overallMeanNanos * speed.meanFactor());
    }
}
