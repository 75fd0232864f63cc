package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.RequestClass;

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
        private double logVariance = ServiceTimeDistribution.DEFAULT_LOG_STD_DEV * ServiceTimeDistribution.DEFAULT_LOG_STD_DEV;
        private int responses;

        ClassEstimate(RequestClass like) {
            this.requestClass = like;
        }

        void record(long nanos) {
            responses++;
            double log = Math.log(Math.max(1, nanos));
            if (responses == 1) {
                logMean = log;
                return;
            }
            double off = log - logMean;
            logMean += Math.max(MEAN_SMOOTHING_FACTOR, 1.0 / responses) * off;
            logVariance += VARIANCE_SMOOTHING_FACTOR * (off * off - logVariance);
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
        ClassEstimate learnt = byClass.get(call.like());
        return learnt == null ? ServiceTimeDistribution.fromMean(call.like(), defaultNanos(call.like())) : learnt.distribution();
    }

    /** The times of all kinds that were seen. */
    List<ServiceTimeDistribution> distributions() {
        List<ServiceTimeDistribution> times = new ArrayList<>();
        for (ClassEstimate learnt : byClass.values()) {
            if (times.size() < MAX_PUBLISHED_CLASSES) {
                times.add(learnt.distribution());
            }
        }
        return times;
    }

    /** Without an answer yet the operators' objective tells most: nobody sets one that is mostly missed. */
    private long defaultNanos(RequestClass like) {
        if (responses > 0) {
            return (long) overallMeanNanos;
        }
        return like.objectiveMillis() == 0
                ? DEFAULT_NANOS
                : (long) (DEFAULT_OBJECTIVE_FRACTION * like.objectiveMillis() * 1_000_000);
    }

    /** Mean time of all requests, 0 before the first answer. */
    long meanNanos() {
        return (long) overallMeanNanos;
    }
}
