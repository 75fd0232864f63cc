package org.berylwick.node.transport;

import org.berylwick.node.lib.LinkLoad;

/**
 * What bodies that were announced to this VM still have to come over its link; confined to the event loop.
 *
 * <p>A backend server whose link is full of bodies gets nothing to do and looks idle, and would be sent more the fuller
 * its link is; so what is on its way is told with its load.
 */
public final class IncomingLink {
    /** For bodies that are there already. */
    static final IncomingLink NONE = new IncomingLink(0);

    private static final int SAMPLE_BYTES = 1_000;

    private final LinkLoad unloadedLink;
    private long outstandingBytes;

    /** @param mbps width of the link, in Mbit/s */
    public IncomingLink(double mbps) {
        this.unloadedLink = new LinkLoad(0, 0, mbps);
    }

    void onBodyAnnounced(int bytes) {
        outstandingBytes += bytes;
    }

    void onBytesReceived(int bytes) {
        outstandingBytes -= bytes;
    }

    /** How long what is on its way takes to come in. */
    public long busyNanos() {
        return unloadedLink.nanosOf(outstandingBytes);
    }

    /** How many bytes come in within a span, 0 if the link's width is not known. */
    long bytesWithin(long nanos) {
        long sampleNanos = unloadedLink.nanosOf(SAMPLE_BYTES);
        return sampleNanos == 0 ? 0 : nanos * SAMPLE_BYTES / sampleNanos;
    }

    /** How long so many bytes take to come in. */
    public long transferNanos(int bytes) {
        return unloadedLink.nanosOf(bytes);
    }
}
