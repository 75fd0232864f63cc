package org.berylwick.bench.emulate;

import org.berylwick.node.transport.IncomingLink;
import org.berylwick.node.transport.ReceiveWindow;

/** One direction of a VM's link: what is sent goes one after the other, at the link's width. */
final class EmulatedLink {
    /** Bytes that are sent before the other end has said that it has the first of them, unless that says fewer. */
    static final int MOST_WINDOW_BYTES = 65_536;
    /** Bytes that are sent at once; what others send goes in between. */
    static final int PART_BYTES = 8_192;

    private static final double NANOS_PER_BYTE_AT_ONE_MBPS = 8_000;

    private final double nanosPerByte;
    private final int windowBytes;
    private long freeAt;

    EmulatedLink(double mbps) {
        this.nanosPerByte = NANOS_PER_BYTE_AT_ONE_MBPS / mbps;
        this.windowBytes = ReceiveWindow.sizeBytes(new IncomingLink(mbps)).orElse(MOST_WINDOW_BYTES);
    }

    /** What one sender may have on its way to a VM with this link. */
    int windowBytes() {
        return windowBytes;
    }

    /** Takes its place behind what is on the link; returns when the last of it has gone over. */
    long pass(int bytes, long now) {
        freeAt = Math.max(now, freeAt) + (long) (bytes * nanosPerByte);
        return freeAt;
    }
}
