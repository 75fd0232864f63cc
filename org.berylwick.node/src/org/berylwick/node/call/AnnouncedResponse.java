package org.berylwick.node.call;

import org.berylwick.node.transport.OutgoingLink;

/**
 * The response of a request, as announced to the outgoing link while it is still being produced; the link counts it as
 * ahead of later ones. Small responses are not announced. Confined to the event loop.
 */
final class AnnouncedResponse {
    private final OutgoingLink link;
    private final int expectedBytes;
    private final long transferNanos;
    private long announcedBytes;

    /**
     * @param link outgoing link of this VM
     * @param expectedBytes expected size of the response, 0 if it does not leave the VM
     */
    AnnouncedResponse(OutgoingLink link, int expectedBytes) {
        this.link = link;
        this.expectedBytes = expectedBytes;
        this.transferNanos = link.isLarge(expectedBytes) ? link.transferNanos(expectedBytes) : 0;
    }

    /** Time that the link takes for the response, 0 for a small one. */
    long transferNanos() {
        return transferNanos;
    }

    /** Time until the link has sent the other large responses that are queued or announced, 0 for a small response. */
    long otherResponsesNanos() {
        return transferNanos == 0 ? 0 : link.busyNanos() - link.transferNanos(announcedBytes);
    }

    /** Announces the response of an admitted request. */
    void announce() {
        update(expectedBytes);
    }

    /** Announces the whole length that the backend server states, if it does. */
    void onLength(long statedBytes) {
        update(statedBytes < 0 ? announcedBytes : statedBytes);
    }

    /** Withdraws the bytes that were read from the backend server; from here on the link counts them itself. */
    void onRead(int bytes) {
        update(Math.max(0, announcedBytes - bytes));
    }

    void withdraw() {
        update(0);
    }

    private void update(long remainingBytes) {
        long bytes = transferNanos == 0 ? 0 : remainingBytes;
        link.adjustExpectedBytes(bytes - announcedBytes);
        announcedBytes = bytes;
    }
}
