package org.berylwick.node.call;

/** Bytes that answers may hold while they are gathered; confined to the event loop. */
final class ResponseBufferBudget {
    /** The largest answer that is gathered before it is passed on; a larger one is streamed. */
    private static final int MAX_BYTES_PER_RESPONSE = 4 << 20;

    private final long maxBytes;
    private long held;

    /** @param most bytes for all answers together */
    ResponseBufferBudget(long most) {
        this.maxBytes = most;
    }

    boolean tryHold(int already, int more) {
        if (already + more > MAX_BYTES_PER_RESPONSE || held + more > maxBytes) {
            return false;
        }
        held += more;
        return true;
    }

    void release(int bytes) {
        held -= bytes;
    }

    long held() {
        return held;
    }
}
