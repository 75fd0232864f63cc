package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request on an {@link HttpConnection}; called on the event loop. */
public interface HttpResponseHandler {
    /**
     * Returns whether a response belongs to this request. A response that does not is read to its end and discarded.
     *
     * @param head head of the response
     */
    default boolean matches(HttpResponse head) {
        return true;
    }

    /** Returns the id of the request for the log, empty if it has none. */
    default String requestId() {
        return "";
    }

    /** Called with the head of the response. */
    void onHead(HttpResponse head);

    /** Called with each part of the body; the callee releases it. */
    void onBody(ByteBuf part);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when no complete response will arrive; the server may have executed the request. */
    void onFailure(String cause);
}
