package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;

/**
 * A response, or the beginning of a streamed one, that waits until the responses ahead of it on its connection have
 * been written; confined to the event loop.
 */
final class HeldResponse {
    private final ResponseBufferBudget budget;
    private final HttpResponse head;
    private final List<ByteBuf> parts = new ArrayList<>(2);
    private int bytes;
    private boolean ended;

    /**
     * @param budget counts the memory that the response takes up
     * @param head complete response, or head of one that is streamed
     */
    HeldResponse(ResponseBufferBudget budget, HttpResponse head) {
        this.budget = budget;
        this.head = head;
        if (head instanceof FullHttpResponse complete) {
            reserve(complete.content().readableBytes());
            ended = true;
        }
    }

    /** Adds a part of a streamed response; it is released with the response. */
    void add(ByteBuf part) {
        reserve(part.readableBytes());
        parts.add(part);
    }

    private void reserve(int additionalBytes) {
        bytes += additionalBytes;
        budget.reserve(additionalBytes);
    }

    /** Marks a streamed response as complete. */
    void end() {
        ended = true;
    }

    boolean isEnded() {
        return ended;
    }

    /** Passes the response on, and with it the ownership of its buffers, to the connection. */
    void writeTo(EntryHandler connection, CallerExchange exchange) {
        budget.release(bytes);
        if (head instanceof FullHttpResponse) {
            connection.finish(exchange, head);
            return;
        }
        connection.beginStream(exchange, head);
        parts.forEach(connection::writePart);
        if (ended) {
            connection.finish(exchange, LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    /** Discards the response. */
    void release() {
        budget.release(bytes);
        if (head instanceof FullHttpResponse complete) {
            complete.release();
        }
        parts.forEach(ByteBuf::release);
    }
}
