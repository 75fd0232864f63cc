package org.berylwick.node.transport;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A connection to a server that carries one request at a time.
 *
 * <p>Whoever acquired it from its {@link ServerConnectionPool} has exclusive use of it until the response is complete,
 * or until {@link #returnUnused} or {@link #abort}.
 */
public interface ServerConnection {
    /**
     * Sends a request. When the response is complete, the connection returns to its pool or closes by itself.
     *
     * @param request head of the request, with the length of the body; if it expects 100 (Continue), the body is held
     *     back until that status arrives
     * @param body written as it arrives; the caller of this method releases it
     * @param handler receives the response
     */
    void send(HttpRequest request, RequestBody body, HttpResponseHandler handler);

    /**
     * Returns whether the last request has been written to the connection completely. Until then the server cannot have
     * received all of it.
     */
    boolean isRequestFullySent();

    /** Returns the connection to its pool without having used it. */
    void returnUnused();

    /** Pauses or resumes reading, so that a slow receiver exerts back pressure on the server. */
    void setAutoRead(boolean enabled);

    /** Closes the connection; the response handler is not called any more. */
    void abort();

    /**
     * Returns whether this connection has carried a request of that id lately. A late second response to it could not
     * be told from the response to the next attempt.
     */
    default boolean hasCarried(String requestId) {
        return false;
    }

    /** Returns the number of requests that were answered on this connection. */
    int servedRequests();

    /**
     * Returns when the last response ended, or else when the connection was opened, on the clock of
     * {@link System#nanoTime}.
     */
    long idleSince();
}
