package org.berylwick.node.transport;

import org.berylwick.node.lib.LinkLoad;

/**
 * Counts the bytes of request bodies that were announced to this VM and have not arrived yet; confined to the event
 * loop.
 *
 * <p>A backend server whose link is saturated with request bodies receives no requests to run and looks idle, so that
 * it would be sent even more requests. Therefore the time that the link needs for the outstanding bytes is reported
 * with the load of the backend server.
 */
public final class IncomingLink {
    /** Used for bodies that have arrived already. */
    static final IncomingLink NONE = new IncomingLink(0);

    /** Number of bytes from whose transfer time the bandwidth is computed. */
    private static final int SAMPLE_BYTES = 1_000;

    private final LinkLoad unloadedLink;
    private long outstandingBytes;

    /**
     * Creates a link without outstanding bytes.
     *
     * @param mbps bandwidth of the link in Mbit/s, 0 if unknown
     */
    public IncomingLink(double mbps) {
        this.unloadedLink = new LinkLoad(0, 0, mbps);
    }

    void onBodyAnnounced(int bytes) {
        outstandingBytes += bytes;
    }

    void onBytesReceived(int bytes) {
        outstandingBytes -= bytes;
    }

    /** Returns how long the link needs to receive the outstanding bytes; 0 if its bandwidth is unknown. */
    public long busyNanos() {
        return unloadedLink.transferNanos(outstandingBytes);
    }

    /** Returns how many bytes the link receives within a time span; 0 if its bandwidth is unknown. */
    long bytesWithin(long nanos) {
        long sampleNanos = unloadedLink.transferNanos(SAMPLE_BYTES);
        return sampleNanos == 0 ? 0 : nanos * SAMPLE_BYTES / sampleNanos;
    }

    /** Returns how long the link needs to receive a number of bytes; 0 if its bandwidth is unknown. */
    public long transferNanos(int bytes) {
        return unloadedLink.transferNanos(bytes);
    }
}
