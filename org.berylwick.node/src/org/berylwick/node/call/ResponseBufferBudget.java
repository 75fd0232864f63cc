package org.berylwick.node.call;

/** Bytes that answers may hold while they are gathered; confined to the event loop. */
final class ResponseBufferBudget {
    /** The largest answer that is gathered before it is passed on; a larger one is streamed. */
    private static final int MAX_BYTES_PER_RESPONSE = 4 << 20;

    private final long maxBytes;
    private long bytesInUse;

    /** @param most bytes for all answers together */
    ResponseBufferBudget(long most) {
        this.maxBytes = most;
    }

    boolean tryReserve(int already, int more) {
        if (already + more > MAX_BYTES_PER_RESPONSE || bytesInUse + more > maxBytes) {
            return false;
        }
        bytesInUse += more;
        return true;
    }

    void release(int bytes) {
        bytesInUse -= bytes;
    }

    long bytesInUse() {
        return bytesInUse;
    }
}
