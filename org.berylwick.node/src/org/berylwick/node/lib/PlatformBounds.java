package org.berylwick.node.lib;

/**
 * Limits that the deployment platform guarantees or requires.
 *
 * @param drainNanos longest time between the acknowledgement that a backend server leaves and the last request that may
 *     reach it
 * @param graceNanos time between the stop signal and the kill
 * @param convergenceNanos longest time between the acceptance of a configuration version and its installation on all
 *     nodes
 * @param retryRatio number of retries allowed per request to a service
 * @param retryWindowNanos length of the window over which requests and retries are counted
 * @param retrySlack number of retries that the whole fleet may send to a service in each window in addition to the
 *     ratio
 * @param exposureShare largest share of a service's requests that a bad version may get while it is rolled out, 0 if
 *     the platform has no roll-outs
 */
public record PlatformBounds(
        long drainNanos,
        long graceNanos,
        long convergenceNanos,
        double retryRatio,
        long retryWindowNanos,
        double retrySlack,
        double exposureShare) {
    /** Creates the limits of a platform without roll-outs. */
    public PlatformBounds(
            long drainNanos,
            long graceNanos,
            long convergenceNanos,
            double retryRatio,
            long retryWindowNanos,
            double retrySlack) {
        this(drainNanos, graceNanos, convergenceNanos, retryRatio, retryWindowNanos, retrySlack, 0);
    }
}
