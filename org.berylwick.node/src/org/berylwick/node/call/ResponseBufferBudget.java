package org.berylwick.node.call;

/** Limits the memory that buffered responses take up; confined to the event loop. */
final class ResponseBufferBudget {
    /** Largest response that is buffered before it is passed on; a larger one is streamed. */
    private static final int MAX_BYTES_PER_RESPONSE = 4 << 20;

    private final long maxBytes;
    private long bytesInUse;

    /** @param maxBytes limit for all responses together */
    ResponseBufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves memory for a part of a response.
     *
     * @param responseBytes bytes reserved for the response so far
     * @param additionalBytes bytes to add
     * @return false, with nothing reserved, if that would exceed a limit
     */
    boolean tryReserve(int responseBytes, int additionalBytes) {
        if (responseBytes + additionalBytes > MAX_BYTES_PER_RESPONSE || bytesInUse + additionalBytes > maxBytes) {
            return false;
        }
        bytesInUse += additionalBytes;
        return true;
    }

    /** Counts memory of a response that is complete and waits to be written, also beyond the limit. */
    void reserve(int bytes) {
        bytesInUse += bytes;
    }

    void release(int bytes) {
        bytesInUse -= bytes;
    }

    long bytesInUse() {
        return bytesInUse;
    }
}
