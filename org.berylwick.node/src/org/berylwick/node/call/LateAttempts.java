package org.berylwick.node.call;

import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * Estimates how much longer an attempt takes that has reached the time at which it is hedged. Confined to the event
 * loop.
 *
 * <p>The estimate is the time that such attempts spent after that, divided by the number that were completed. An
 * attempt that was cancelled counts with its time alone; leaving it out would count only the short ones. Times are in
 * multiples of the median service time, so that all servers and classes contribute to one estimate.
 */
final class LateAttempts {
    /** Weight of the told distribution, in completed attempts. */
    private static final double PRIOR_WEIGHT = 2;
    /** Number of attempts after which the older ones count half. */
    private static final int HALVING_COUNT = 32;

    private double medians;
    private double completions;
    private int attempts;

    void record(ServiceTimeDistribution time, long lateNanos, boolean completed) {
        medians += (double) Math.max(0, lateNanos) / Math.max(1, time.medianNanos());
        completions += completed ? 1 : 0;
        attempts++;
        if (attempts >= HALVING_COUNT) {
            attempts /= 2;
            medians /= 2;
            completions /= 2;
        }
    }

    /**
     * Returns the time that an attempt is expected to go on.
     *
     * @param time service time distribution of the backend server that runs it
     * @param elapsedNanos service time that it has taken
     */
    long expectedRemainingNanos(ServiceTimeDistribution time, long elapsedNanos) {
        double exceeded = time.probabilityOfExceeding(elapsedNanos);
        long medianRemainingNanos = time.quantileNanos(1 - exceeded / 2) - elapsedNanos;
        double priorMedians = PRIOR_WEIGHT * medianRemainingNanos / Math.max(1, time.medianNanos());
        return (long) (time.medianNanos() * (medians + priorMedians) / (completions + PRIOR_WEIGHT));
    }
}
