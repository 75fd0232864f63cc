package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Who waits for the answer to one request on an {@link HttpConnection}; called on the event loop. */
public interface HttpResponseHandler {
    /**
     * Whether a response head belongs to this exchange. One that does not is read to its end and dropped.
     *
     * @param head of a response
     */
    default boolean matches(HttpResponse head) {
        return true;
    }

    /** The head of the answer. */
    void onHead(HttpResponse head);

    /** A part of the body; the callee releases it. */
    void onBody(ByteBuf part);

    /** The answer is whole. */
    void onEnd();

    /** No whole answer will come; the request may have been run. */
    void onFailure(String cause);
}
