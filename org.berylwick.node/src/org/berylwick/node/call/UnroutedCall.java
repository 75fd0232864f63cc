package org.berylwick.node.call;

import org.berylwick.node.transport.RequestBody;

/** A request that waits for a route; ends with its connection. Confined to the event loop. */
final class UnroutedCall implements CallHandle {
    private final RequestBody body;
    private boolean abandoned;

    UnroutedCall(RequestBody body) {
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
