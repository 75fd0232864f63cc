package org.berylwick.node.lib;

/**
 * Load of a backend server as measured by its owner, the node on the same VM.
 *
 * @param running number of requests that the backend server is processing
 * @param queued number of requests that wait at the owner
 * @param slots number of requests that the backend server runs concurrently
 * @param meanNanos mean service time of a request
 * @param lostPerMille recent requests per thousand that the backend server lost or rejected
 * @param incomingLinkBusyNanos time until the request bodies in transit to the VM have been received over its link
 * @param outgoingLinkBusyNanos time until the large responses that are ready or being produced have been sent over its
 *     link
 * @param startIntervalNanos minimum time between two requests that are sent to the backend server, 0 if it states no
 *     limit on their rate
 * @param limitWaitNanos time until one more request, queued after all others, may be sent by that limit
 * @param slowdownPercent how long work takes there at this moment, in per cent of the mean, 0 if that is not known
 */
public record OwnerLoad(
        int running,
        int queued,
        int slots,
        long meanNanos,
        int lostPerMille,
        long incomingLinkBusyNanos,
        long outgoingLinkBusyNanos,
        long startIntervalNanos,
        long limitWaitNanos,
        int slowdownPercent) {
    /** Load of a backend server of which nothing is known yet. */
    public static final OwnerLoad NONE = new OwnerLoad(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** Creates the load of a backend server that loses no requests, states no limit, and whose link is idle. */
    public OwnerLoad(int running, int queued, int slots, long meanNanos) {
        this(running, queued, slots, meanNanos, 0, 0, 0, 0, 0, 0);
    }

    /** Creates the load of a backend server that does not state its current speed. */
    public OwnerLoad(
            int running,
            int queued,
            int slots,
            long meanNanos,
            int lostPerMille,
            long incomingLinkBusyNanos,
            long outgoingLinkBusyNanos,
            long startIntervalNanos,
            long limitWaitNanos) {
        this(
                running,
                queued,
                slots,
                meanNanos,
                lostPerMille,
                incomingLinkBusyNanos,
                outgoingLinkBusyNanos,
                startIntervalNanos,
                limitWaitNanos,
                0);
    }

    /** Returns this load with the limit that the backend server states. */
    public OwnerLoad withLimit(long intervalNanos, long waitNanos) {
        return new OwnerLoad(
                running,
                queued,
                slots,
                meanNanos,
                lostPerMille,
                incomingLinkBusyNanos,
                outgoingLinkBusyNanos,
                intervalNanos,
                waitNanos,
                slowdownPercent);
    }

    /** Returns this load with the current speed of the backend server. */
    public OwnerLoad withSlowdown(int percent) {
        return new OwnerLoad(
                running,
                queued,
                slots,
                meanNanos,
                lostPerMille,
                incomingLinkBusyNanos,
                outgoingLinkBusyNanos,
                startIntervalNanos,
                limitWaitNanos,
                percent);
    }

    /** Returns how long one more request would wait for a slot and the limit. */
    public long waitNanos() {
        return Math.max(limitWaitNanos, waitNanos(running + queued));
    }

    /**
     * Returns how long one more request would wait for a slot.
     *
     * @param pendingRequests number of requests that are running or queued
     */
    public long waitNanos(int pendingRequests) {
        if (slots == 0) {
            return 0;
        }
        int excess = pendingRequests - slots + 1;
        return excess <= 0 ? 0 : excess * meanNanos / slots;
    }
}
