package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.RequestBody;

/**
 * Handles a caller's connection: processes its requests one after the other and writes the responses; confined to the
 * event loop.
 */
final class EntryHandler extends ChannelInboundHandlerAdapter implements ResponseSink {
    /** Upper limit for request bodies: a body is kept in memory because another attempt may have to send it again. */
    private static final long MAX_BODY_BYTES = 8 << 20;

    private static final int MAX_BUFFER_COMPONENTS = 1024;
    /** Reading from the connection stops when more messages than this wait for the current response to end. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time for which input is still read and discarded before a connection is closed. */
    private static final long LINGER_MILLIS = 1_000;
    /** Retry-After of the refusals of a node that stops. */
    private static final double STOPPING_RETRY_AFTER_S = 0.3;

    /** Idle connections are kept slightly longer than the configured limit, as a request may already be in transit. */
    private static final double IDLE_TIMEOUT_FACTOR = 1.1;

    private final EntryServer server;
    private final EntryServices services;
    private final ArrayDeque<Object> pipelinedMessages = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest requestHead;
    private CompositeByteBuf bufferedBody;
    private RequestBody streamedBody;
    private long bufferedBodyBytes;
    private CallHandle call;
    private boolean responsePending;
    private boolean keepAlive;
    private boolean headRequest;
    private boolean closing;
    /** Responses whose last bytes the operating system has not accepted yet. */
    private int unsentResponses;

    private long lastActivityAt;

    EntryHandler(EntryServer server, EntryServices services) {
        this.server = server;
        this.services = services;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastActivityAt = System.nanoTime();
        server.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (pipelinedMessages.isEmpty() && canProcessNext()) {
            process(message);
            return;
        }
        pipelinedMessages.add(message);
        if (pipelinedMessages.size() > MAX_PIPELINED_MESSAGES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Whether the next message can be processed now: it belongs to the current request, or none is being answered. */
    private boolean canProcessNext() {
        return !responsePending || streamedBody != null;
    }

    private void process(Object message) {
        if (message instanceof HttpRequest request) {
            processHead(request);
        }
        if (message instanceof HttpContent content) {
            processContent(content);
        }
    }

    private void processHead(HttpRequest request) {
        lastActivityAt = System.nanoTime();
        headRequest = "HEAD".equals(request.method().name());
        keepAlive = HttpUtil.isKeepAlive(request);
        if (request.decoderResult().isFailure()) {
            rejectMalformed(request.decoderResult().cause());
            return;
        }
        requestHead = request;
        bufferedBodyBytes = 0;
        long maxBytes = Math.min(MAX_BODY_BYTES, limits().maxBodyBytes());
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > maxBytes) {
            rejectAndClose(413, "request body exceeds the size limit");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        if (length >= RequestBody.MIN_STREAMED_BYTES) {
            streamedBody = RequestBody.incoming((int) length, services.incomingLink());
            startCall(streamedBody);
            return;
        }
        bufferedBody = Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS);
    }

    private CallerLimits limits() {
        return services.version()
                .get()
                .map(ConfigurationVersion::limits)
                .orElse(EntryServer.LIMITS_BEFORE_FIRST_VERSION);
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            rejectAndClose(414, "request line exceeds the size limit");
        } else if (cause instanceof TooLongHttpHeaderException) {
            rejectAndClose(431, "request headers exceed the size limit");
        } else {
            rejectAndClose(400, "malformed request");
        }
    }

    private void rejectAndClose(int status, String reason) {
        services.log().write(Event.CALLER_FAULT, "status", status, "why", reason);
        services.counters().increment(NodeMetricNames.ENTRY_CALLER_FAULTS);
        abandonCall();
        releaseBody();
        keepAlive = false;
        responsePending = true;
        respond(status, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    private void processContent(HttpContent content) {
        if (bufferedBody == null && streamedBody == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            rejectAndClose(400, "malformed request body");
            return;
        }
        if (streamedBody != null) {
            processStreamedContent(content);
            return;
        }
        bufferedBodyBytes += content.content().readableBytes();
        if (bufferedBodyBytes > Math.min(MAX_BODY_BYTES, limits().maxBodyBytes())) {
            content.release();
            rejectAndClose(413, "request body exceeds the size limit");
            return;
        }
        bufferedBody.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            RequestBody requestBody = RequestBody.of(bufferedBody);
            bufferedBody = null;
            startCall(requestBody);
        }
    }

    private void processStreamedContent(HttpContent content) {
        lastActivityAt = System.nanoTime();
        streamedBody.addPart(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        RequestBody receivedBody = streamedBody;
        streamedBody = null;
        receivedBody.markComplete();
        // The response may have been sent before the body was complete.
        processPipelined();
    }

    /** Starts the call of a request whose head has been read. The call owns the body, which may be incomplete. */
    private void startCall(RequestBody requestBody) {
        HttpRequest request = requestHead;
        requestHead = null;
        responsePending = true;
        services.counters().increment(NodeMetricNames.ENTRY_REQUESTS);
        if (server.isRefusingNew()) {
            requestBody.release();
            services.counters().increment(NodeMetricNames.ENTRY_REFUSED);
            respond(503, RetryAfter.headers(STOPPING_RETRY_AFTER_S), Unpooled.EMPTY_BUFFER);
            return;
        }
        PendingRequest pending = new PendingRequest(requestBody);
        call = pending;
        services.admission().decide(request, result -> onAdmissionDecided(pending, request, requestBody, result));
    }

    private void onAdmissionDecided(
            PendingRequest pending, HttpRequest request, RequestBody requestBody, RequestAdmission.Result result) {
        switch (result) {
            case RequestAdmission.Result.Admitted admitted
            when pending.isAbandoned() -> admitted.admission().permit().release();
            case RequestAdmission.Result.Admitted admitted -> {
                EntryCallFactory.CallerRequest callerRequest = new EntryCallFactory.CallerRequest(
                        request.method(), request.uri(), request.headers(), requestBody);
                call = services.callFactory().create(admitted.version(), admitted.admission(), callerRequest, this);
                call.start();
            }
            case RequestAdmission.Result.Denied denied ->
                respondWithoutCall(pending, requestBody, denied.status(), Headers.empty());
            case RequestAdmission.Result.Refused refused ->
                respondWithoutCall(
                        pending, requestBody, refused.status(), RetryAfter.headers(refused.retryAfterSeconds()));
        }
    }

    private void respondWithoutCall(PendingRequest pending, RequestBody requestBody, int status, HttpHeaders headers) {
        if (!pending.isAbandoned()) {
            requestBody.release();
            respond(status, headers, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void respond(int status, HttpHeaders headers, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                headRequest ? Unpooled.EMPTY_BUFFER : body,
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (headRequest) {
            body.release();
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength(body));
        writeFinal(response);
    }

    private int contentLength(ByteBuf body) {
        return headRequest ? 0 : body.readableBytes();
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnectionHeader(response);
        channel.write(response);
    }

    @Override
    public boolean writePart(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
        return channel.isWritable();
    }

    @Override
    public void endStream() {
        writeFinal(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abortStream() {
        call = null;
        closing = true;
        channel.close();
    }

    private void setConnectionHeader(HttpResponse response) {
        keepAlive &= !server.isDraining();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void writeFinal(Object message) {
        call = null;
        if (message instanceof HttpResponse response) {
            setConnectionHeader(response);
        }
        unsentResponses++;
        ChannelFuture written = channel.writeAndFlush(message);
        written.addListener(f -> onSent());
        if (!keepAlive) {
            closing = true;
            return;
        }
        responsePending = false;
        lastActivityAt = System.nanoTime();
        processPipelined();
    }

    private void onSent() {
        unsentResponses--;
        if (closing && unsentResponses == 0) {
            closeGracefully();
        }
    }

    private void processPipelined() {
        while (canProcessNext() && !pipelinedMessages.isEmpty()) {
            process(pipelinedMessages.poll());
        }
        if (pipelinedMessages.size() <= MAX_PIPELINED_MESSAGES) {
            channel.config().setAutoRead(true);
        }
    }

    /**
     * Closes the connection without losing the response: closing with unread input would send a reset, so input is read
     * and discarded for a while first.
     */
    private void closeGracefully() {
        if (!channel.isActive()) {
            return;
        }
        channel.config().setAutoRead(true);
        ((SocketChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection if it has been idle for longer than the limit; a request whose body is still incomplete
     * then is rejected.
     */
    void closeIfTimedOut(long now, long idleTimeoutNanos) {
        if (responsePending || closing || unsentResponses > 0) {
            return;
        }
        if (now - lastActivityAt <= (long) (idleTimeoutNanos * IDLE_TIMEOUT_FACTOR)) {
            return;
        }
        if (requestHead != null) {
            rejectAndClose(408, "request body not received within the idle timeout");
            return;
        }
        closing = true;
        channel.close();
    }

    /** Makes the call in progress, if any, end by a given time, because the process is being shut down. */
    void concludeBy(long concludeAt) {
        if (call != null) {
            call.concludeBy(concludeAt);
        }
    }

    /** Closes the connection if no request is in progress on it, and none has arrived. */
    void closeIfIdle() {
        if (isIdle()) {
            EntryServer.readNow(channel);
        }
        if (!isIdle()) {
            return;
        }
        closing = true;
        if (unsentResponses == 0) {
            closeGracefully();
        }
    }

    private boolean isIdle() {
        return !responsePending && !isReceiving() && !closing;
    }

    /** Whether a request is being read or answered, or a response has not been handed to the operating system. */
    boolean isBusy() {
        return (responsePending || isReceiving()) && !closing || unsentResponses > 0;
    }

    private boolean isReceiving() {
        return requestHead != null || streamedBody != null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.setAutoRead(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.remove(this);
        closing = true;
        abandonCall();
        releaseBody();
        while (!pipelinedMessages.isEmpty()) {
            ReferenceCountUtil.release(pipelinedMessages.poll());
        }
    }

    private void abandonCall() {
        if (call != null) {
            call.abandon();
            call = null;
        }
    }

    private void releaseBody() {
        requestHead = null;
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        if (streamedBody != null) {
            streamedBody.release();
            streamedBody = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            services.log().write(Event.INTERNAL_ERROR, "where", "entry", "cause", cause);
        }
        ctx.close();
    }
}
