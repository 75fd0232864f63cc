package org.berylwick.node.lib;

/**
 * Service time of one backend server for requests of one class, modelled as a log-normal distribution, since most
 * requests are fast and a few take several times as long.
 *
 * @param requestClass class of the requests
 * @param medianNanos median service time
 * @param logStdDev standard deviation of the natural logarithm of the service time
 * @param calls whether backend servers make these requests while they run others
 */
public record ServiceTimeDistribution(RequestClass requestClass, long medianNanos, double logStdDev, boolean calls) {
    /** Value assumed before any request was measured; service times mostly have 0.4 to 1. */
    public static final double DEFAULT_LOG_STD_DEV = 0.6;
    /**
     * Lower bound. With a smaller value, the probability of being late would rise almost in a step, although service
     * times are known only to within some milliseconds.
     */
    private static final double MIN_LOG_STD_DEV = 0.15;
    /** Slope with which the logistic function approximates the normal distribution function to within 0.01. */
    private static final double LOGISTIC_SLOPE = 1.702;

    public ServiceTimeDistribution {
        logStdDev = Math.max(MIN_LOG_STD_DEV, logStdDev);
    }

    /** Creates the distribution of requests of callers. */
    public ServiceTimeDistribution(RequestClass requestClass, long medianNanos, double logStdDev) {
        this(requestClass, medianNanos, logStdDev, false);
    }

    /** Returns this distribution with whether the requests are calls of backend servers. */
    public ServiceTimeDistribution ofCalls(boolean areCalls) {
        return new ServiceTimeDistribution(requestClass, medianNanos, logStdDev, areCalls);
    }

    /** Returns the distribution with the given mean for a class of which no request was measured. */
    public static ServiceTimeDistribution fromMean(RequestClass requestClass, double meanNanos) {
        double medianNanos = meanNanos / Math.exp(DEFAULT_LOG_STD_DEV * DEFAULT_LOG_STD_DEV / 2);
        return new ServiceTimeDistribution(requestClass, (long) medianNanos, DEFAULT_LOG_STD_DEV);
    }

    /** Returns the mean service time. */
    public long meanNanos() {
        return (long) (medianNanos * Math.exp(logStdDev * logStdDev / 2));
    }

    /** Returns the probability that a request takes longer than the given time. */
    public double probabilityOfExceeding(long nanos) {
        if (nanos <= 0) {
            return 1;
        }
        double standardScore = Math.log((double) nanos / Math.max(1, medianNanos)) / logStdDev;
        return 1 / (1 + Math.exp(LOGISTIC_SLOPE * standardScore));
    }

    /** Returns the time within which a request is completed with the given probability, more than 0 and less than 1. */
    public long quantileNanos(double probability) {
        double standardScore = Math.log(probability / (1 - probability)) / LOGISTIC_SLOPE;
        return (long) (medianNanos * Math.exp(logStdDev * standardScore));
    }

    /** Returns the distribution of a backend server that is slower by the given factor. */
    public ServiceTimeDistribution scaledBy(double factor) {
        return factor == 1
                ? this
                : new ServiceTimeDistribution(requestClass, (long) (medianNanos * factor), logStdDev, calls);
    }
}
