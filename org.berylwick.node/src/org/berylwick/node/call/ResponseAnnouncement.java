package org.berylwick.node.call;

import org.berylwick.node.transport.OutgoingLink;

/**
 * The bytes of a response that are announced to the outgoing link until they arrive, so that the link counts them as
 * ahead of later ones; confined to the event loop. A small response is not announced.
 */
final class ResponseAnnouncement {
    private final OutgoingLink link;
    private final long expectedBytes;
    private final long transferNanos;
    private long announcedBytes;

    /**
     * @param link outgoing link of this VM
     * @param expectedBytes expected size of the response
     */
    ResponseAnnouncement(OutgoingLink link, long expectedBytes) {
        this.link = link;
        this.expectedBytes = expectedBytes;
        this.transferNanos = link.isLarge(expectedBytes) ? link.transferNanos(expectedBytes) : 0;
    }

    /** Time that the response takes on the link, 0 for a small one. */
    long transferNanos() {
        return transferNanos;
    }

    /**
     * Time for which the response is expected to wait for the link, behind the large responses that are queued or
     * announced there, beyond the median service time of the request; 0 for a small response.
     */
    long waitNanos(long medianServiceNanos) {
        if (transferNanos == 0) {
            return 0;
        }
        long otherResponsesNanos = link.busyNanos() - link.transferNanos(announcedBytes);
        return Math.max(0, otherResponsesNanos - medianServiceNanos);
    }

    /** Announces the expected size. */
    void announce() {
        setRemaining(expectedBytes);
    }

    /** Updates the announcement to the length that a head states, if it states one. */
    void onLength(long statedBytes) {
        if (statedBytes >= 0) {
            setRemaining(statedBytes);
        }
    }

    /** Called with a part of the body; from here on the link counts these bytes itself. */
    void onPart(int bytes) {
        setRemaining(Math.max(0, announcedBytes - bytes));
    }

    void withdraw() {
        setRemaining(0);
    }

    private void setRemaining(long remainingBytes) {
        long bytesToAnnounce = transferNanos == 0 ? 0 : remainingBytes;
        link.adjustExpectedBytes(bytesToAnnounce - announcedBytes);
        announcedBytes = bytesToAnnounce;
    }
}
