package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;

/**
 * Decodes the responses to the requests of one connection, which carries one at a time; confined to the event loop.
 *
 * <p>Bytes are decoded only while a request waits for its response. If others were decoded, the beginning of a response
 * among them would stay in this decoder and be joined to the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private HttpMethod method = HttpMethod.GET;
    private boolean awaitingResponse;
    private long receivedBytes;
    private Runnable onUnexpectedBytes = () -> {};

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets a task that runs when bytes arrive while no request waits for a response. */
    void onUnexpectedBytes(Runnable task) {
        onUnexpectedBytes = task;
    }

    /** Called when a request is sent. */
    void expectResponse(HttpMethod requestMethod) {
        method = requestMethod;
        awaitingResponse = true;
        receivedBytes = 0;
    }

    /** Called when the response to the request is complete; bytes of the same read may follow. */
    void endResponse() {
        awaitingResponse = false;
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
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (awaitingResponse) {
            super.decode(ctx, in, out);
            return;
        }
        in.skipBytes(in.readableBytes());
        onUnexpectedBytes.run();
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (awaitingResponse) {
            super.decodeLast(ctx, in, out);
        }
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
