package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpRequest;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;
import org.berylwick.node.transport.ServerConnectionPool;

/** A backend server without sockets: each connection is open at once, and a test decides what becomes of requests. */
abstract class InMemoryBackendServer implements ServerConnectionPool, ServerConnection {
    private final Clock clock;

    InMemoryBackendServer(Clock clock) {
        this.clock = clock;
    }

    @Override
    public abstract void send(HttpRequest request, RequestBody body, HttpResponseHandler handler);

    @Override
    public void acquire(long idleLimitNanos, Consumer<ServerConnection> onConnection, Consumer<String> onFailure) {
        onConnection.accept(this);
    }

    @Override
    public void probe(Consumer<ProbeResult> onResult) {
        onResult.accept(ProbeResult.LISTENING);
    }

    @Override
    public boolean isRequestFullySent() {
        return true;
    }

    @Override
    public long openedCount() {
        return 1;
    }

    @Override
    public void evictIdle() {
        // There are no idle connections.
    }

    @Override
    public void close() {
        // There are no sockets.
    }

    @Override
    public void returnUnused() {
        // Connections are not reused.
    }

    @Override
    public void setAutoRead(boolean enabled) {
        // Responses have no body.
    }

    @Override
    public void abort() {
        // The response is disregarded.
    }

    @Override
    public int servedRequests() {
        return 0;
    }

    @Override
    public long idleSince() {
        return clock.now();
    }
}
