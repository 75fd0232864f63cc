package org.berylwick.node.lib;

/**
 * Responses of the backend servers of one version while a roll-out of their service is under way.
 *
 * @param responses all responses, and requests that ended without one
 * @param failures those that failed, by status or without a response
 * @param slow those that took several times as long as is usual for their class
 */
public record VersionTally(long responses, long failures, long slow) {
    /** No responses. */
    public static final VersionTally NONE = new VersionTally(0, 0, 0);

    /** Returns the sum of both. */
    public VersionTally plus(VersionTally other) {
        return new VersionTally(responses + other.responses, failures + other.failures, slow + other.slow);
    }

    /** Returns this tally with one response more. */
    public VersionTally plusResponse(boolean failed, boolean wasSlow) {
        return new VersionTally(responses + 1, failures + (failed ? 1 : 0), slow + (wasSlow ? 1 : 0));
    }
}
