package org.berylwick.node.lib;

/**
 * The link that leads to a VM.
 *
 * @param busyNanos until what is known to be on its way has come over it
 * @param pendingResponsesNanos until the large answers that are known to be made there have left over it
 * @param mbps its width in Mbit/s, 0 if nothing goes over it or its width is not known
 */
public record LinkLoad(long busyNanos, long pendingResponsesNanos, double mbps) {
    /** Nothing goes over it. */
    public static final LinkLoad NONE = new LinkLoad(0, 0, 0);

    /** What takes longer than this is large. */
    private static final long LARGE_TRANSFER_NANOS = 20_000_000L;

    private static final double NANOS_PER_BYTE_AT_ONE_MBPS = 8_000;

    /** Whether so many bytes have to wait for their turn, as others would have to wait behind them. */
    public boolean isLarge(double bytes) {
        return transferNanos(bytes) >= LARGE_TRANSFER_NANOS;
    }

    /** How long so many bytes take to go over it, once it is free. */
    public long transferNanos(double bytes) {
        return mbps <= 0 ? 0 : (long) (bytes * NANOS_PER_BYTE_AT_ONE_MBPS / mbps);
    }
}
