package org.berylwick.node.lib;

/**
 * How long one backend server takes for requests of one class: a log-normal time, since most requests take little and a
 * few take several times as long.
 *
 * @param requestClass the requests
 * @param medianNanos half of the requests take less
 * @param logStdDev standard deviation of the logarithm of the time
 */
public record ServiceTimeDistribution(RequestClass requestClass, long medianNanos, double logStdDev) {
    /** The spread of times that were not seen yet; request times of services mostly have 0.4 to 1. */
    public static final double DEFAULT_LOG_STD_DEV = 0.6;
    /** With less, the chance of being late would jump where the time is known no better than to some milliseconds. */
    private static final double MIN_LOG_STD_DEV = 0.15;
    /** The logistic curve with this slope is the normal one to within 0.01. */
    private static final double LOGISTIC_SLOPE = 1.702;

    public ServiceTimeDistribution {
        logStdDev = Math.max(MIN_LOG_STD_DEV, logStdDev);
    }

    /** The time of a kind that was not seen, from its mean. */
    public static ServiceTimeDistribution fromMean(RequestClass requestClass, double meanNanos) {
        double medianNanos = meanNanos / Math.exp(DEFAULT_LOG_STD_DEV * DEFAULT_LOG_STD_DEV / 2);
        return new ServiceTimeDistribution(requestClass, (long) medianNanos, DEFAULT_LOG_STD_DEV);
    }

    /** The mean time. */
    public long meanNanos() {
        return (long) (medianNanos * Math.exp(logStdDev * logStdDev / 2));
    }

    /** The chance that a request takes longer than a time. */
    public double probabilityOfExceeding(long nanos) {
        if (nanos <= 0) {
            return 1;
        }
        double standardScore = Math.log((double) nanos / Math.max(1, medianNanos)) / logStdDev;
        return 1 / (1 + Math.exp(LOGISTIC_SLOPE * standardScore));
    }

    /** The same on a backend server that takes so many times as long. */
    public ServiceTimeDistribution scaledBy(double factor) {
        return new ServiceTimeDistribution(requestClass, (long) (medianNanos * factor), logStdDev);
    }
}
