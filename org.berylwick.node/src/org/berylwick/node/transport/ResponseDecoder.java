package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
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

    /** Is notified of bytes that are no response. */
    interface Listener {
        /** Called when bytes arrive while no request waits for a response. */
        void onUnexpectedBytes();

        /**
         * Called when a head is invalid; the connection cannot be used any further.
         *
         * @param problem what is wrong with it
         */
        void onInvalidHead(String problem);

        /**
         * Called when a head contains a second status line.
         *
         * @param position number of bytes from the start of the head to the second status line's version
         * @param inValue whether it stands in the value of a header
         * @return whether to decode the response all the same
         */
        boolean onSecondStatusLine(int position, boolean inValue);
    }

    private final ResponseHeadScanner headScanner = new ResponseHeadScanner();
    private HttpMethod method = HttpMethod.GET;
    private boolean awaitingResponse;
    private boolean failed;
    private boolean secondStatusLineSeen;
    private long receivedBytes;
    private Listener listener;

    ResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets the recipient of notifications, before any bytes arrive. */
    void setListener(Listener recipient) {
        listener = recipient;
    }

    /** Called when a request is sent. */
    void expectResponse(HttpMethod requestMethod) {
        method = requestMethod;
        awaitingResponse = true;
        receivedBytes = 0;
        secondStatusLineSeen = false;
        headScanner.reset();
    }

    /** Ends decoding for good. */
    void stop() {
        failed = true;
    }

    /** Returns whether a head that was received since the request was sent contains a second status line. */
    boolean hasSeenSecondStatusLine() {
        return secondStatusLineSeen;
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
        if (!awaitingResponse) {
            skipUnexpectedBytes(in);
            return;
        }
        if (failed || !isHeadAcceptable(in)) {
            failed = true;
            in.skipBytes(in.readableBytes());
            return;
        }
        int outBefore = out.size();
        int readableBefore = in.readableBytes();
        super.decode(ctx, in, out);
        headScanner.onRead(readableBefore - in.readableBytes());
        if (out.size() > outBefore && out.get(out.size() - 1) instanceof LastHttpContent) {
            headScanner.reset();
        }
    }

    private void skipUnexpectedBytes(ByteBuf in) {
        // A server may end a response with an empty line too many.
        boolean onlyLineBreaks = in.forEachByte(ResponseHeadScanner::isLineBreak) < 0;
        in.skipBytes(in.readableBytes());
        if (!onlyLineBreaks) {
            listener.onUnexpectedBytes();
        }
    }

    private boolean isHeadAcceptable(ByteBuf in) {
        ResponseHeadScanner.Result result = headScanner.scan(in);
        // A head may contain thousands of them.
        while (result == ResponseHeadScanner.Result.STATUS_LINE_IN_VALUE && isSecondStatusLineAccepted(true)) {
            result = headScanner.scan(in);
        }
        return switch (result) {
            case VALID -> true;
            case NO_STATUS_LINE -> rejectHead("no status line");
            case INVALID_STATUS_CODE -> rejectHead("invalid status code");
            case INVALID_HEADER_NAME -> rejectHead("invalid header name");
            case SECOND_STATUS_LINE -> isSecondStatusLineAccepted(false);
            case STATUS_LINE_IN_VALUE -> false;
        };
    }

    private boolean rejectHead(String problem) {
        listener.onInvalidHead(problem);
        return false;
    }

    private boolean isSecondStatusLineAccepted(boolean inValue) {
        secondStatusLineSeen = true;
        return listener.onSecondStatusLine(headScanner.headBytes(), inValue);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (awaitingResponse && !failed) {
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
