package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.UnsupportedMessageTypeException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.transport.ResponseFault.Kind;

/**
 * An HTTP/1.1 connection to a server that carries one request at a time; confined to the event loop.
 *
 * <p>The connection returns to its pool only after the event loop has processed everything that was read together with
 * the end of a response. Bytes that arrive while no request waits belong to none, and the connection is closed without
 * decoding them. A response to an earlier request may also arrive after the next request was sent, whole or broken off.
 * So a response is passed on only if its head has one status line and its handler finds the request it belongs to.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter implements ServerConnection {
    private static final String KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout=";
    private static final int MAX_REMEMBERED_REQUESTS = 32;
    /**
     * Time within which the body of a response to another request must be complete after its head, if another attempt
     * can take the place of the current request.
     */
    private static final long OTHER_RESPONSE_TIMEOUT_MILLIS = 250;

    /** Is notified of what happens to a connection. */
    interface Listener {
        /** Called when the connection may carry the next request. */
        void onIdle(HttpConnection connection);

        /** Called when the connection is closed. */
        void onClosed(HttpConnection connection);

        /** Called when bytes arrive that are not the response to the request, or cannot be shown to be. */
        void onFault(ResponseFault fault);
    }

    private final Channel channel;
    private final InetSocketAddress server;
    private final EndOfStream endOfStream;
    private final ResponseDecoder decoder;
    private final Listener listener;
    private final BodyCollector bodyCollector = new BodyCollector(this::deliver);
    private HttpResponseHandler responseHandler;
    private HttpResponse responseHead;
    private boolean discardingResponse;
    private boolean responseComplete;
    private boolean reusable;
    private boolean closeDelimited;
    private ChannelFuture requestEndWrite;
    private RequestBody pendingBody;
    private boolean bodyRequested;
    private final BodyWriter bodyWriter = new BodyWriter();
    private long idleSince;
    private long keepAliveNanos;
    private int servedRequests;
    /** Ids of the requests that were sent on this connection last. */
    private final ArrayDeque<String> sentRequests = new ArrayDeque<>();

    private String previousRequest = "";
    private Future<?> otherResponseTimeout;

    /**
     * @param channel has an HTTP encoder and the decoder in its pipeline, and allows half-closure
     * @param server address that the channel is connected to
     * @param endOfStream stands before the decoder
     * @param decoder decodes the responses
     * @param listener is notified of what happens to this connection
     */
    HttpConnection(
            Channel channel,
            InetSocketAddress server,
            EndOfStream endOfStream,
            ResponseDecoder decoder,
            Listener listener) {
        this.channel = channel;
        this.server = server;
        this.endOfStream = endOfStream;
        this.decoder = decoder;
        this.listener = listener;
        decoder.setListener(new DecoderListener());
        this.idleSince = System.nanoTime();
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    /** Returns how long the server keeps an idle connection open, 0 if it did not announce a time. */
    public long keepAliveNanos() {
        return keepAliveNanos;
    }

    @Override
    public int servedRequests() {
        return servedRequests;
    }

    /** Returns whether the connection is open and carries no request. */
    public boolean isIdle() {
        return responseHandler == null && !responseComplete && channel.isActive();
    }

    /**
     * Reads what the server has sent meanwhile, and returns whether the connection is open and carries no request.
     * Bytes or an end of the stream that the event loop has not read yet make it unusable.
     */
    boolean isIdleAfterRead() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        return isIdle();
    }

    @Override
    public boolean hasCarried(String requestId) {
        return sentRequests.contains(requestId);
    }

    @Override
    public void returnUnused() {
        listener.onIdle(this);
    }

    @Override
    public void send(HttpRequest request, RequestBody requestBody, HttpResponseHandler handler) {
        responseHandler = handler;
        responseHead = null;
        discardingResponse = false;
        reusable = true;
        closeDelimited = false;
        requestEndWrite = null;
        decoder.expectResponse(request.method());
        rememberRequest(handler.requestId());
        channel.write(request);
        pendingBody = requestBody;
        bodyRequested = !HttpUtil.is100ContinueExpected(request);
        if (bodyRequested) {
            pendingBody.subscribe(bodyWriter);
        }
        channel.flush();
    }

    private void rememberRequest(String id) {
        if (id.isEmpty()) {
            return;
        }
        sentRequests.addLast(id);
        if (sentRequests.size() > MAX_REMEMBERED_REQUESTS) {
            sentRequests.removeFirst();
        }
    }

    /** Writes the body of a request as it arrives. */
    private final class BodyWriter implements RequestBody.Subscriber {
        @Override
        public void onRequestBodyPart(ByteBuf part) {
            if (pendingBody.isComplete()) {
                channel.write(new DefaultHttpContent(part));
            } else {
                channel.writeAndFlush(new DefaultHttpContent(part));
            }
        }

        @Override
        public void onRequestBodyComplete() {
            requestEndWrite = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            stopWritingBody();
        }
    }

    private void stopWritingBody() {
        if (pendingBody != null) {
            pendingBody.unsubscribe(bodyWriter);
            pendingBody = null;
        }
    }

    @Override
    public boolean isRequestFullySent() {
        return requestEndWrite != null;
    }

    @Override
    public void setAutoRead(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    @Override
    public void abort() {
        end();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (responseHandler == null) {
            ReferenceCountUtil.release(message);
            channel.close();
            return;
        }
        if (!(message instanceof HttpObject object) || object.decoderResult().isFailure()) {
            handleUndecodable(message);
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private final class DecoderListener implements ResponseDecoder.Listener {
        @Override
        public void onUnexpectedBytes() {
            reportFault(Kind.UNEXPECTED, "");
            if (responseComplete) {
                reusable = false;
                return;
            }
            channel.close();
        }

        @Override
        public void onInvalidHead(String problem) {
            failResponse(Kind.UNREADABLE, problem, "unreadable answer: " + problem);
        }

        @Override
        public boolean onSecondStatusLine(int position, boolean inValue) {
            if (servedRequests == 0 && inValue) {
                // The server quotes it, so that no later response could be told from parts of two.
                reusable = false;
                return true;
            }
            failResponse(Kind.JOINED, Integer.toString(position), "unreadable answer: parts of two responses");
            return false;
        }
    }

    private void handleUndecodable(Object message) {
        ReferenceCountUtil.release(message);
        Throwable error = message instanceof HttpObject object
                ? object.decoderResult().cause()
                : new UnsupportedMessageTypeException(message, HttpObject.class);
        if (error instanceof PrematureChannelClosureException) {
            failInvalid("closed within the head of an answer");
            return;
        }
        failResponse(Kind.UNREADABLE, error.getClass().getSimpleName(), "unreadable answer");
    }

    private void reportFault(Kind kind, String detail) {
        String request = responseHandler == null ? "" : responseHandler.requestId();
        listener.onFault(new ResponseFault(kind, server, request, previousRequest, decoder.receivedBytes(), detail));
    }

    private void handleHead(HttpResponse response) {
        int status = response.status().code();
        if (status >= 100 && status < 200) {
            discardingResponse = true;
            if (status == HttpResponseStatus.CONTINUE.code() && !bodyRequested) {
                bodyRequested = true;
                pendingBody.subscribe(bodyWriter);
            }
            return;
        }
        switch (responseHandler.originOf(response, servedRequests > 0, decoder.hasSeenSecondStatusLine())) {
            case OWN -> startResponse(response);
            case OTHER -> discardOtherResponse(response);
            case UNKNOWN -> {
                String statusText = Integer.toString(status);
                failResponse(Kind.UNIDENTIFIED, statusText, "answer names no request, or several");
            }
        }
    }

    private void discardOtherResponse(HttpResponse response) {
        if (isCloseDelimited(response) && !decoder.isContentAlwaysEmpty(response)) {
            failResponse(Kind.FOREIGN, "", "answer to another request, without an end");
            return;
        }
        reportFault(Kind.FOREIGN, "");
        // The response to the current request follows.
        discardingResponse = true;
        reusable = false;
        if (responseHandler.isRepeatable()) {
            otherResponseTimeout = channel.eventLoop()
                    .schedule(this::onOtherResponseTimeout, OTHER_RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onOtherResponseTimeout() {
        if (discardingResponse) {
            failResponse(Kind.FOREIGN, "", "answer to another request, broken off");
        }
    }

    private void startResponse(HttpResponse response) {
        discardingResponse = false;
        responseHead = response;
        closeDelimited = isCloseDelimited(response);
        reusable &= HttpUtil.isKeepAlive(response) && !closeDelimited;
        parseKeepAlive(response);
        responseHandler.onHead(response);
    }

    private void parseKeepAlive(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        if (value == null) {
            return;
        }
        int parameterIndex = value.indexOf(KEEP_ALIVE_TIMEOUT_PARAMETER);
        if (parameterIndex < 0) {
            return;
        }
        int start = parameterIndex + KEEP_ALIVE_TIMEOUT_PARAMETER.length();
        int end = start;
        while (end < value.length() && Character.isDigit(value.charAt(end))) {
            end++;
        }
        if (end > start && end - start < 6) {
            keepAliveNanos = Integer.parseInt(value.substring(start, end)) * 1_000_000_000L;
        }
    }

    private void handleContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (discardingResponse) {
            content.release();
            if (content instanceof LastHttpContent end) {
                endDiscardedResponse(end);
            }
            return;
        }
        if (responseHead == null) {
            content.release();
            return;
        }
        if (isLast && closeDelimited && endOfStream.isMissing()) {
            content.release();
            return;
        }
        HttpResponseHandler handler = responseHandler;
        if (isLast) {
            bodyCollector.flush();
            deliver(content.content());
        } else {
            bodyCollector.add(content.content());
        }
        if (!isLast || responseHandler != handler) {
            return;
        }
        responseHandler = null;
        responseComplete = true;
        servedRequests++;
        previousRequest = handler.requestId();
        decoder.endResponse();
        stopWritingBody();
        reusable &= requestEndWrite != null && requestEndWrite.isSuccess();
        handler.onEnd();
    }

    private void deliver(ByteBuf part) {
        if (responseHandler == null || !part.isReadable()) {
            part.release();
            return;
        }
        responseHandler.onBody(part);
    }

    private void endDiscardedResponse(LastHttpContent end) {
        discardingResponse = false;
        if (!end.trailingHeaders().isEmpty()) {
            // The head of the response to the current request may be among them.
            failResponse(Kind.FOREIGN, "", "answer to another request, with trailers");
        }
        if (otherResponseTimeout != null) {
            otherResponseTimeout.cancel(false);
            otherResponseTimeout = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        bodyCollector.flush();
        if (!responseComplete) {
            return;
        }
        responseComplete = false;
        if (!reusable) {
            channel.close();
            return;
        }
        channel.config().setAutoRead(true);
        idleSince = System.nanoTime();
        listener.onIdle(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("connection broke: " + cause.getMessage());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail(closeCause());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(closeCause());
        listener.onClosed(this);
    }

    private String closeCause() {
        String cause = responseHead == null ? "closed before an answer" : "closed within an answer";
        Throwable writeFailure = requestEndWrite == null ? null : requestEndWrite.cause();
        return writeFailure == null ? cause : cause + ", write failed: " + writeFailure.getMessage();
    }

    private void fail(String cause) {
        HttpResponseHandler handler = end();
        if (handler != null) {
            handler.onFailure(cause);
        }
    }

    private void failResponse(Kind kind, String detail, String cause) {
        reportFault(kind, detail);
        failInvalid(cause);
    }

    private void failInvalid(String cause) {
        HttpResponseHandler handler = end();
        if (handler != null) {
            handler.onInvalidResponse(cause);
        }
    }

    /** Closes the connection, and returns the handler of the request that waits for its response, or null. */
    private HttpResponseHandler end() {
        HttpResponseHandler handler = responseHandler;
        responseHandler = null;
        decoder.stop();
        stopWritingBody();
        bodyCollector.clear();
        channel.close();
        return handler;
    }

    /** Whether only the close of the connection ends the body of a response, if it has one. */
    public static boolean isCloseDelimited(HttpResponse response) {
        return !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }

    /** Sets the Content-Length header. Only a GET request without a body gets none. */
    public static void setContentLength(HttpRequest request, int bytes) {
        if (bytes > 0 || !"GET".equals(request.method().name())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes);
        }
    }
}
