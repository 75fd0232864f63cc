package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Where the answer to a caller goes; called on the event loop. */
public interface ResponseSink {
    /**
     * A whole answer.
     *
     * @param status of the answer
     * @param headers end-to-end headers
     * @param body is released after it was written
     */
    void respond(int status, HttpHeaders headers, ByteBuf body);

    /** Begins an answer whose length is not known. */
    void beginStream(int status, HttpHeaders headers);

    /** A part of it; false if the caller should be given time to read. */
    boolean writeChunk(ByteBuf chunk);

    /** Its end. */
    void endStream();

    /** Breaks it off, so that the caller sees that it is not whole. */
    void abortStream();
}
