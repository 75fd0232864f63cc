package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.ServiceTimeDistribution;

/** How long a backend server takes for each kind of request, learnt from its answers; confined to the event loop. */
final class ServiceTimeEstimator {
    /**
     * Weight of a new answer; about the last twenty count. With the last ten, a heavy tail moved the mean by a quarter
     * up and down; with fifty, a server that turned slow was believed for seconds.
     */
    private static final double MEAN_SMOOTHING_FACTOR = 0.05;
    /** Weight of a new answer for the spread, which changes less and takes more answers to be seen. */
    private static final double VARIANCE_SMOOTHING_FACTOR = 0.02;

    /** Part of its objective that a request is taken to run before one was seen. */
    private static final double DEFAULT_OBJECTIVE_FRACTION = 0.35;

    private static final long DEFAULT_NANOS = 150_000_000L;
    /** Kinds that are told to others; a service has fewer. */
    private static final int MAX_PUBLISHED_CLASSES = 8;

    private final Map<RequestClass, ClassEstimate> byClass = new HashMap<>();
    private double overallMeanNanos;
    private int responses;

    private static final class ClassEstimate {
        private final RequestClass requestClass;
        private double logMean;
        private double logVariance =
                ServiceTimeDistribution.DEFAULT_LOG_STD_DEV * ServiceTimeDistribution.DEFAULT_LOG_STD_DEV;
        private int responses;

        ClassEstimate(RequestClass requestClass) {
            this.requestClass = requestClass;
        }

        void record(long nanos) {
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

    void record(CallSpec call, long nanos) {
        byClass.computeIfAbsent(call.like(), ClassEstimate::new).record(nanos);
        responses++;
        overallMeanNanos += Math.max(MEAN_SMOOTHING_FACTOR, 1.0 / responses) * (nanos - overallMeanNanos);
    }

    /** The time of a request like this one. */
    ServiceTimeDistribution distribution(CallSpec call) {
        ClassEstimate estimate = byClass.get(call.like());
        return estimate == null
                ? ServiceTimeDistribution.fromMean(call.like(), defaultNanos(call.like()))
                : estimate.distribution();
    }

    /** The times of all kinds that were seen. */
    List<ServiceTimeDistribution> distributions() {
        List<ServiceTimeDistribution> distributions = new ArrayList<>();
        for (ClassEstimate estimate : byClass.values()) {
            if (distributions.size() < MAX_PUBLISHED_CLASSES) {
                distributions.add(estimate.distribution());
            }
        }
        return distributions;
    }

    /** Without an answer yet the operators' objective tells most: nobody sets one that is mostly missed. */
    private long defaultNanos(RequestClass requestClass) {
        if (responses > 0) {
            return (long) overallMeanNanos;
        }
        return requestClass.objectiveMillis() == 0
                ? DEFAULT_NANOS
                : (long) (DEFAULT_OBJECTIVE_FRACTION * requestClass.objectiveMillis() * 1_000_000);
    }

    /** Mean time of all requests, 0 before the first answer. */
    long meanNanos() {
        return (long) overallMeanNanos;
    }
}
