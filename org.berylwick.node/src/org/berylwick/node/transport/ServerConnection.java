package org.berylwick.node.transport;

import io.netty.handler.codec.http.HttpRequest;

/** A connection to a server that carries one request at a time, in the hands of whoever took it. */
public interface ServerConnection {
    /**
     * Sends a request; the connection is free again by itself when the answer is whole.
     *
     * @param request its head, with the length of the body; one that expects 100 (Continue) keeps the body back for it
     * @param body is written as it comes; whoever sends it releases it
     * @param handler gets the answer
     */
    void send(HttpRequest request, RequestBody body, HttpResponseHandler handler);

    /** Whether all of the request that was sent last was handed to the connection; before that nobody has it whole. */
    boolean isRequestFullySent();

    /** Gives it back without having used it. */
    void returnUnused();

    /** Stops or resumes reading, so that a slow receiver holds back the server. */
    void setAutoRead(boolean enabled);

    /** Closes it; an exchange that waits on it hears nothing more. */
    void abort();

    /** Requests answered on it. */
    int servedRequests();

    /** When the last answer ended, in {@link System#nanoTime} terms. */
    long idleSince();
}
