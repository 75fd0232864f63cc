package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request on an {@link HttpConnection}; called on the event loop. */
public interface HttpResponseHandler {
    /** The request that a response belongs to. */
    enum Origin {
        /** The request of this handler. */
        OWN,
        /** Another one. The response is read to its end and discarded, and the next one is awaited. */
        OTHER,
        /** It cannot be told. The connection is closed, and the request fails. */
        UNKNOWN
    }

    /**
     * Returns which request a response belongs to.
     *
     * @param head head of the response
     * @param connectionReused whether the connection has carried an earlier request, which may be answered once more
     */
    default Origin originOf(HttpResponse head, boolean connectionReused) {
        return Origin.OWN;
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
