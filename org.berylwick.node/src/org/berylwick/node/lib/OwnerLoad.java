package org.berylwick.node.lib;

/**
 * How busy a backend server is, as its owner counts it.
 *
 * @param running requests it works on
 * @param queued requests that wait at the owner
 * @param slots requests it runs at once
 * @param meanNanos a request takes on average
 * @param lostPerMille requests of late that it lost or turned away, of a thousand
 * @param incomingNanos until the bodies that are on their way to its VM have come over the VM's link
 * @param outgoingNanos until the large answers that are there, or are being made, have left over it
 */
public record OwnerLoad(
        int running, int queued, int slots, long meanNanos, int lostPerMille, long incomingNanos, long outgoingNanos) {
    /** Nothing is known yet. */
    public static final OwnerLoad NONE = new OwnerLoad(0, 0, 0, 0, 0, 0, 0);

    /** The load of a backend server that loses nothing, on a link that is free. */
    public OwnerLoad(int running, int queued, int slots, long meanNanos) {
        this(running, queued, slots, meanNanos, 0, 0, 0);
    }

    /** How long one more request would wait for a slot. */
    public long waitNanos() {
        return waitNanos(running + queued);
    }

    /**
     * How long one more request would wait for a slot.
     *
     * @param pendingRequests requests that are there already
     */
    public long waitNanos(int pendingRequests) {
        if (slots == 0) {
            return 0;
        }
        int excess = pendingRequests - slots + 1;
        return excess <= 0 ? 0 : excess * meanNanos / slots;
    }
}
