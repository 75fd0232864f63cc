package org.berylwick.node.lib;

/**
 * Estimated load of the network link of a VM.
 *
 * @param inTransitNanos time until the data known to be in transit to the VM has been transferred
 * @param pendingResponsesNanos time until the large responses that the VM is known to be producing have been sent
 * @param mbps bandwidth in Mbit/s, 0 if the link is not used or its bandwidth is unknown
 */
public record LinkLoad(long inTransitNanos, long pendingResponsesNanos, double mbps) {
    /** Load of a link that is not used. */
    public static final LinkLoad NONE = new LinkLoad(0, 0, 0);

    /** Transfers that take at least this long are large. */
    private static final long LARGE_TRANSFER_NANOS = 20_000_000L;

    private static final double NANOS_PER_BYTE_AT_ONE_MBPS = 8_000;

    /**
     * Returns whether a transfer is so large that it has to queue for the link, as others would be delayed behind it.
     */
    public boolean isLarge(double bytes) {
        return transferNanos(bytes) >= LARGE_TRANSFER_NANOS;
    }

    /** Returns how long a transfer takes on an idle link, 0 if the bandwidth is unknown. */
    public long transferNanos(double bytes) {
        return mbps <= 0 ? 0 : (long) (bytes * NANOS_PER_BYTE_AT_ONE_MBPS / mbps);
    }
}
