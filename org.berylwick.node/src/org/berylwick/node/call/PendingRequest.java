package org.berylwick.node.call;

import org.berylwick.node.transport.RequestBody;

/** A request that waits for a newer version or for a permit; ends with its connection. Confined to the event loop. */
final class PendingRequest implements CallHandle {
    private final RequestBody body;
    private boolean abandoned;

    PendingRequest(RequestBody body) {
        this.body = body;
    }

    /** Whether the caller has disconnected, so that the body is released. */
    boolean isAbandoned() {
        return abandoned;
    }

    @Override
    public void start() {}

    @Override
    public void concludeBy(long concludeAt) {}

    @Override
    public void abandon() {
        abandoned = true;
        body.release();
    }

    @Override
    public void setAutoRead(boolean autoRead) {}
}
