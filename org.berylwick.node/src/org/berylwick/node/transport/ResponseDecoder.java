package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the responses to the requests of one connection, which carries one at a time; confined to the event loop. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private HttpMethod method = HttpMethod.GET;
    private long receivedBytes;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Called when a request is sent. */
    void expectResponse(HttpMethod requestMethod) {
        method = requestMethod;
        receivedBytes = 0;
    }

    /** Called when the response to the request is complete. */
    void endResponse() {
        receivedBytes = 0;
    }

    /** Returns the number of bytes received since a request was sent or, if none waits, since its response ended. */
    long receivedBytes() {
        return receivedBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            receivedBytes += bytes.readableBytes();
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (HttpMethod.HEAD.equals(method)
                && message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            return true;
        }
        return super.isContentAlwaysEmpty(message);
    }
}
