package org.berylwick.node.call;

/** Bytes that answers may hold while they are gathered; confined to the event loop. */
final class ResponseBufferBudget {
    /** The largest answer that is gathered before it is passed on; a larger one is streamed. */
    private static final int MAX_BYTES_PER_RESPONSE = 4 << 20;

    private final long maxBytes;
    private long bytesInUse;

    /** @param maxBytes bytes for all answers together */
    ResponseBufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    boolean tryReserve(int responseBytes, int additionalBytes) {
        if (responseBytes + additionalBytes > MAX_BYTES_PER_RESPONSE || bytesInUse + additionalBytes > maxBytes) {
            return false;
        }
        bytesInUse += additionalBytes;
        return true;
    }

    void release(int bytes) {
        bytesInUse -= bytes;
    }

    long bytesInUse() {
        return bytesInUse;
    }
}
