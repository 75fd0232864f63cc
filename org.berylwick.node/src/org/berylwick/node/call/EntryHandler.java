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
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.RequestBody;

/**
 * Handles a caller's connection: parses its requests, starts them and writes the responses in the order of the
 * requests. Requests that may run more than once run at the same time, up to a bound; confined to the event loop.
 */
final class EntryHandler extends ChannelInboundHandlerAdapter {
    /** Upper limit for request bodies: a body is kept in memory because another attempt may have to send it again. */
    private static final long MAX_BODY_BYTES = 8 << 20;

    private static final int MAX_BUFFER_COMPONENTS = 1024;
    /** Requests of a connection that are in progress, or whose responses the operating system has not accepted. */
    private static final int MAX_REQUESTS = 16;
    /** No further request is read while the bodies and responses that are kept for a connection exceed this. */
    private static final long MAX_KEPT_BYTES = 262_144;

    /** Time for which input is still read and discarded before a connection is closed. */
    private static final long LINGER_MILLIS = 1_000;
    /** Idle connections are kept slightly longer than the configured limit, as a request may already be in transit. */
    private static final double IDLE_TIMEOUT_FACTOR = 1.1;

    private final EntryServer server;
    private final EntryServices services;
    private final ExchangeQueue queue = new ExchangeQueue();
    private final WaitingInput input = new WaitingInput();
    private Channel channel;
    private HttpRequest requestHead;
    private long requestWaitedNanos;
    private CompositeByteBuf bufferedBody;
    private RequestBody streamedBody;
    private long bufferedBodyBytes;
    /** A request that was read completely and may start only after all others have been answered. */
    private CallerExchange deferred;

    private long deferredAt;
    private boolean processingInput;
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
        if (input.isEmpty() && canProcess(message)) {
            process(message, 0);
            return;
        }
        input.add(message, System.nanoTime());
        if (input.isFull()) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Whether the next message can be processed now: it belongs to the current request, or begins one that may start.
     */
    private boolean canProcess(Object message) {
        if (streamedBody != null) {
            return true;
        }
        if (deferred != null) {
            return false;
        }
        if (queue.isEmpty()) {
            return unsentResponses < MAX_REQUESTS;
        }
        if (queue.keptBytes() + (requestHead == null ? 0 : bufferedBodyBytes) >= MAX_KEPT_BYTES) {
            return false;
        }
        return requestHead != null || message instanceof HttpRequest request && mayReadAhead(request);
    }

    /** Whether a request may be read while others are in progress. */
    private boolean mayReadAhead(HttpRequest request) {
        CallerExchange last = queue.tail();
        if (!last.isRepeatable() || !last.isKeepAlive() || server.isDraining()) {
            return false;
        }
        if (queue.size() + unsentResponses >= MAX_REQUESTS) {
            return false;
        }
        return request.decoderResult().isFailure()
                || HttpUtil.getContentLength(request, 0L) < RequestBody.MIN_STREAMED_BYTES
                        && !HttpUtil.is100ContinueExpected(request);
    }

    private void process(Object message, long waitedNanos) {
        if (message instanceof HttpRequest request) {
            requestWaitedNanos = waitedNanos;
            processHead(request);
        }
        if (message instanceof HttpContent content) {
            processContent(content);
        }
    }

    private void processHead(HttpRequest request) {
        lastActivityAt = System.nanoTime();
        if (request.decoderResult().isFailure()) {
            rejectAndClose(request, CallerFault.ofHead(request.decoderResult().cause()));
            return;
        }
        requestHead = request;
        bufferedBodyBytes = 0;
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > maxBodyBytes()) {
            rejectAndClose(request, CallerFault.BODY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        if (length >= RequestBody.MIN_STREAMED_BYTES) {
            streamedBody = RequestBody.incoming((int) length, services.incomingLink());
            startExchange(streamedBody);
            return;
        }
        bufferedBody = Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS);
    }

    private long maxBodyBytes() {
        return Math.min(MAX_BODY_BYTES, server.limits().maxBodyBytes());
    }

    /** Answers a request that was not started with an error, after those ahead of it, and closes the connection. */
    private void rejectAndClose(HttpRequest request, CallerFault fault) {
        record(fault);
        releaseIncoming();
        CallerExchange rejected = new CallerExchange(this, services, request, RequestBody.of(Unpooled.EMPTY_BUFFER));
        queue.add(rejected);
        rejected.reject(fault.status());
    }

    private void record(CallerFault fault) {
        services.log().write(Event.CALLER_FAULT, "status", fault.status(), "why", fault.reason());
        services.counters().increment(NodeMetricNames.ENTRY_CALLER_FAULTS);
    }

    /**
     * Rejects a request whose call has been started. If its response has begun, an error would be taken for another.
     */
    private void rejectStreamedUpload() {
        record(CallerFault.BODY_MALFORMED);
        streamedBody = null;
        CallerExchange started = queue.head();
        if (started == null) {
            closeWhenSent();
        } else if (started.hasBegunStream()) {
            abort();
        } else {
            started.reject(CallerFault.BODY_MALFORMED.status());
        }
    }

    private void processContent(HttpContent content) {
        if (bufferedBody == null && streamedBody == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            if (streamedBody != null) {
                rejectStreamedUpload();
            } else {
                rejectAndClose(requestHead, CallerFault.BODY_MALFORMED);
            }
            return;
        }
        if (streamedBody != null) {
            processStreamedContent(content);
            return;
        }
        bufferedBodyBytes += content.content().readableBytes();
        if (bufferedBodyBytes > maxBodyBytes()) {
            content.release();
            rejectAndClose(requestHead, CallerFault.BODY_TOO_LARGE);
            return;
        }
        bufferedBody.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            RequestBody requestBody = RequestBody.of(bufferedBody);
            bufferedBody = null;
            startExchange(requestBody);
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
        processInput();
    }

    /** Starts a request whose head has been read, or defers it. The exchange owns the body, which may be incomplete. */
    private void startExchange(RequestBody requestBody) {
        CallerExchange exchange = new CallerExchange(this, services, requestHead, requestBody);
        requestHead = null;
        exchange.addWait(requestWaitedNanos);
        if (queue.isEmpty()) {
            start(exchange);
        } else if (!server.isDraining() && services.admission().isRepeatable(exchange.request())) {
            exchange.markRepeatable();
            start(exchange);
        } else {
            deferred = exchange;
            deferredAt = System.nanoTime();
        }
    }

    private void start(CallerExchange exchange) {
        queue.add(exchange);
        services.counters().increment(NodeMetricNames.ENTRY_REQUESTS);
        if (server.isRefusingNew()) {
            services.counters().increment(NodeMetricNames.ENTRY_REFUSED);
            exchange.refuseAsStopping();
        } else {
            exchange.start();
        }
    }

    /** The requests in progress; the response to the first is the one that is written now. */
    ExchangeQueue queue() {
        return queue;
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    /** Writes the head of a streamed response. */
    void beginStream(CallerExchange exchange, HttpResponse response) {
        setConnectionHeader(exchange, response);
        channel.write(response);
    }

    /**
     * Writes a part of a streamed response.
     *
     * @return whether the caller keeps up with reading
     */
    boolean writePart(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part));
        return channel.isWritable();
    }

    /** Closes the connection at once; the requests in progress end. */
    void abort() {
        closing = true;
        channel.close();
    }

    private void setConnectionHeader(CallerExchange exchange, HttpResponse response) {
        // A node that drains still answers the requests behind this one that it has started.
        if (server.isDraining() && exchange.next() == null) {
            exchange.closeAfterResponse();
        }
        if (!exchange.isKeepAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes a complete response or the end of a streamed one, and goes on with the next exchange. */
    void finish(CallerExchange exchange, HttpObject message) {
        if (message instanceof HttpResponse response) {
            setConnectionHeader(exchange, response);
        }
        unsentResponses++;
        queue.poll();
        closing |= !exchange.isKeepAlive();
        CallerExchange following = queue.head();
        boolean flushesLater = !closing && following != null && following.hasCompleteResponse();
        ChannelFuture written = flushesLater ? channel.write(message) : channel.writeAndFlush(message);
        written.addListener(f -> onSent());
        if (closing) {
            releaseAll();
            return;
        }
        lastActivityAt = System.nanoTime();
        if (following != null) {
            following.onHead();
        }
        processInput();
    }

    private void onSent() {
        unsentResponses--;
        if (closing) {
            if (unsentResponses == 0) {
                closeGracefully();
            }
        } else if (!input.isEmpty()) {
            processInput();
        }
    }

    /** Goes on with what could not be processed before; has no effect if nothing waits. */
    void processInput() {
        if (processingInput) {
            return;
        }
        processingInput = true;
        while (!closing && proceed()) {
            // Each step may change what the next one can do.
        }
        processingInput = false;
        if (!closing && !input.isFull()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Starts the deferred request or processes one message, and returns whether there was any to process. */
    private boolean proceed() {
        if (deferred != null && queue.isEmpty()) {
            CallerExchange exchange = deferred;
            deferred = null;
            exchange.addWait(System.nanoTime() - deferredAt);
            start(exchange);
            return true;
        }
        if (input.isEmpty() || !canProcess(input.peek())) {
            return false;
        }
        WaitingInput.Entry entry = input.poll();
        process(entry.message(), System.nanoTime() - entry.arrivedAt());
        return true;
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
        if (!queue.isEmpty() || closing || unsentResponses > 0) {
            return;
        }
        if (now - lastActivityAt <= (long) (idleTimeoutNanos * IDLE_TIMEOUT_FACTOR)) {
            return;
        }
        if (requestHead != null) {
            rejectAndClose(requestHead, CallerFault.BODY_LATE);
            return;
        }
        abort();
    }

    /** Makes the calls in progress, if any, end by a given time, because the process is being shut down. */
    void concludeBy(long concludeAt) {
        queue.forEach(e -> e.concludeBy(concludeAt));
    }

    /** Closes the connection if no request is in progress on it, and none has arrived. */
    void closeIfIdle() {
        if (isIdle()) {
            EntryServer.readNow(channel);
        }
        if (isIdle()) {
            closeWhenSent();
        }
    }

    private void closeWhenSent() {
        closing = true;
        releaseAll();
        if (unsentResponses == 0) {
            closeGracefully();
        }
    }

    private boolean isIdle() {
        return queue.isEmpty() && !isReceiving() && !closing;
    }

    private boolean isReceiving() {
        return requestHead != null || streamedBody != null;
    }

    /**
     * Returns the number of requests that are being answered, and at least 1 while one is being read or a response has
     * not been handed to the operating system.
     */
    int pendingRequests() {
        boolean busy = (!queue.isEmpty() || isReceiving()) && !closing || unsentResponses > 0;
        return busy ? Math.max(1, queue.size()) : 0;
    }

    /** Returns the number of requests in progress behind the one whose response is written next. */
    int pipelinedRequests() {
        return Math.max(0, queue.size() - 1);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!queue.isEmpty()) {
            queue.head().setAutoRead(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.remove(this);
        closing = true;
        releaseAll();
    }

    /** Ends everything that was read and not answered, because the connection is being closed. */
    private void releaseAll() {
        while (!queue.isEmpty()) {
            queue.poll().abandon();
        }
        if (deferred != null) {
            deferred.abandon();
            deferred = null;
        }
        releaseIncoming();
        input.releaseAll();
    }

    private void releaseIncoming() {
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
