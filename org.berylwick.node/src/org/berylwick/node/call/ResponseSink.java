package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response to a caller's request; called on the event loop. */
public interface ResponseSink {
    /**
     * Sends a complete response.
     *
     * @param status status code
     * @param headers end-to-end headers
     * @param body body; released after it has been written
     */
    void respond(int status, HttpHeaders headers, ByteBuf body);

    /** Begins a response whose length is not known. */
    void beginStream(int status, HttpHeaders headers);

    /**
     * Sends a part of the response that was begun.
     *
     * @return whether the caller keeps up with reading; if not, the response should not be read further for now
     */
    boolean writePart(ByteBuf part);

    /** Ends the response that was begun. */
    void endStream();

    /** Closes the connection in the middle of the response, so that the caller sees that it is incomplete. */
    void abortStream();
}
