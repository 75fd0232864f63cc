package org.berylwick.node.lib;

/**
 * What the operators' platform promises and demands, each in nanoseconds unless it says otherwise.
 *
 * @param drainNanos from the acknowledgement of a leave to the last request that may reach the backend server
 * @param graceNanos from the signal to stop to the kill
 * @param convergenceNanos from the acceptance of a version to its being in force everywhere
 * @param retryRatio repeats that one request of a service earns
 * @param retryWindowNanos the span over which repeats are counted
 * @param retrySlack repeats per span and service that are free, over the whole fleet
 */
public record PlatformBounds(
        long drainNanos,
        long graceNanos,
        long convergenceNanos,
        double retryRatio,
        long retryWindowNanos,
        double retrySlack) {}
