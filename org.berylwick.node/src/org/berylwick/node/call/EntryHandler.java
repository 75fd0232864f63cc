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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.node.lib.MeshVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.RequestBody;

/**
 * A caller's connection: reads its requests one after the other and writes their answers; confined to the event loop.
 */
final class EntryHandler extends ChannelInboundHandlerAdapter implements ReplySink {
    /** The most of a body that is kept, since an attempt may have to send it again. */
    private static final long MOST_BODY_BYTES = 8 << 20;

    private static final int MOST_PARTS = 1024;
    /** A caller that sends on while its request is answered is read no further than this. */
    private static final int MOST_AHEAD = 64;

    private static final long LINGER_MILLIS = 1_000;
    /** When to come back after a refusal that has nothing to do with load. */
    private static final double RETRY_ELSEWHERE_S = 0.3;

    /** Idle connections are kept a little longer than the limit says, as a request may be on its way. */
    private static final double IDLE_MARGIN = 1.1;

    private final EntryServer server;
    private final EntryServices services;
    private final ArrayDeque<Object> ahead = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private CompositeByteBuf gathered;
    private RequestBody body;
    private long bodyBytes;
    private CallerCall call;
    private boolean busy;
    private boolean keepAlive;
    private boolean headRequest;
    private boolean closing;
    /** Ends of answers that the system has not taken yet. */
    private int unsent;

    private long quietSince;

    EntryHandler(EntryServer server, EntryServices services) {
        this.server = server;
        this.services = services;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        quietSince = System.nanoTime();
        server.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (ahead.isEmpty() && takesNow()) {
            take(message);
            return;
        }
        ahead.add(message);
        if (ahead.size() > MOST_AHEAD) {
            channel.config().setAutoRead(false);
        }
    }

    /** Whether what comes next belongs to the request that is being read. */
    private boolean takesNow() {
        return !busy || body != null;
    }

    private void take(Object message) {
        if (message instanceof HttpRequest request) {
            takeHead(request);
        }
        if (message instanceof HttpContent content) {
            takeContent(content);
        }
    }

    private void takeHead(HttpRequest request) {
        quietSince = System.nanoTime();
        headRequest = "HEAD".equals(request.method().name());
        keepAlive = HttpUtil.isKeepAlive(request);
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request.decoderResult().cause());
            return;
        }
        head = request;
        bodyBytes = 0;
        long most = Math.min(MOST_BODY_BYTES, limits().maxBodyBytes());
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > most) {
            refuseAndClose(413, "body is too long");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        if (length >= RequestBody.MIN_STREAMED_BYTES) {
            body = RequestBody.incoming((int) length, services.link());
            startCall(body);
            return;
        }
        gathered = Unpooled.compositeBuffer(MOST_PARTS);
    }

    private CallerLimits limits() {
        return services.version().get().map(MeshVersion::limits).orElse(EntryServer.LIMITS_BEFORE_FIRST_VERSION);
    }

    private void refuseMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            refuseAndClose(414, "request line is too long");
        } else if (cause instanceof TooLongHttpHeaderException) {
            refuseAndClose(431, "headers are too long");
        } else {
            refuseAndClose(400, "malformed request");
        }
    }

    private void refuseAndClose(int status, String why) {
        services.log().write(Event.CALLER_FAULT, "status", status, "why", why);
        services.counters().increment(NodeMetricNames.ENTRY_CALLER_FAULTS);
        abandonCall();
        dropBody();
        keepAlive = false;
        busy = true;
        reply(status, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    private void takeContent(HttpContent content) {
        if (gathered == null && body == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuseAndClose(400, "malformed body");
            return;
        }
        if (body != null) {
            takePart(content);
            return;
        }
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > Math.min(MOST_BODY_BYTES, limits().maxBodyBytes())) {
            content.release();
            refuseAndClose(413, "body is too long");
            return;
        }
        gathered.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            RequestBody whole = RequestBody.of(gathered);
            gathered = null;
            startCall(whole);
        }
    }

    private void takePart(HttpContent content) {
        quietSince = System.nanoTime();
        body.addPart(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        RequestBody came = body;
        body = null;
        came.markComplete();
        // It may have been answered before its body was in.
        takeAhead();
    }

    /** Begins a request whose head is there; its body may still be coming, and belongs to its call. */
    private void startCall(RequestBody whole) {
        HttpRequest request = head;
        head = null;
        busy = true;
        services.counters().increment(NodeMetricNames.ENTRY_REQUESTS);
        if (server.isRefusing()) {
            whole.release();
            services.counters().increment(NodeMetricNames.ENTRY_REFUSED);
            reply(503, EntryCall.retryAfter(RETRY_ELSEWHERE_S), Unpooled.EMPTY_BUFFER);
            return;
        }
        Optional<MeshVersion> version = services.version().get();
        if (version.isEmpty()) {
            whole.release();
            services.counters().increment(NodeMetricNames.ENTRY_REFUSED_NO_VERSION);
            reply(503, EntryCall.retryAfter(RETRY_ELSEWHERE_S), Unpooled.EMPTY_BUFFER);
            return;
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = version.get().route(host, request.uri());
        if (route.isEmpty()) {
            whole.release();
            services.counters().increment(NodeMetricNames.ENTRY_NO_ROUTE);
            reply(404, Headers.empty(), Unpooled.EMPTY_BUFFER);
            return;
        }
        EntryCalls.CallerRequest asked =
                new EntryCalls.CallerRequest(request.method(), request.uri(), request.headers(), whole);
        call = services.calls().open(version.get(), route.get(), asked, this);
        call.start();
    }

    @Override
    public void reply(int status, HttpHeaders headers, ByteBuf bytes) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                headRequest ? Unpooled.EMPTY_BUFFER : bytes,
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (headRequest) {
            bytes.release();
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytesLength(bytes));
        finishWith(response);
    }

    private int bytesLength(ByteBuf bytes) {
        return headRequest ? 0 : bytes.readableBytes();
    }

    @Override
    public void begin(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        markConnection(response);
        channel.write(response);
    }

    @Override
    public boolean part(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        return channel.isWritable();
    }

    @Override
    public void end() {
        finishWith(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void breakOff() {
        call = null;
        closing = true;
        channel.close();
    }

    private void markConnection(HttpResponse response) {
        keepAlive &= !server.isDraining();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finishWith(Object message) {
        call = null;
        if (message instanceof HttpResponse response) {
            markConnection(response);
        }
        unsent++;
        ChannelFuture written = channel.writeAndFlush(message);
        written.addListener(f -> onSent());
        if (!keepAlive) {
            closing = true;
            return;
        }
        busy = false;
        quietSince = System.nanoTime();
        takeAhead();
    }

    private void onSent() {
        unsent--;
        if (closing && unsent == 0) {
            closeGently();
        }
    }

    private void takeAhead() {
        while (takesNow() && !ahead.isEmpty()) {
            take(ahead.poll());
        }
        if (ahead.size() <= MOST_AHEAD) {
            channel.config().setAutoRead(true);
        }
    }

    /**
     * Ends the connection so that the answer is not lost to a reset: bytes that come meanwhile are read and dropped.
     */
    private void closeGently() {
        if (!channel.isActive()) {
            return;
        }
        channel.config().setAutoRead(true);
        ((SocketChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection if it has been idle for too long. */
    void sweep(long now, long idleNanos) {
        if (busy || closing || unsent > 0) {
            return;
        }
        if (now - quietSince <= (long) (idleNanos * IDLE_MARGIN)) {
            return;
        }
        if (head != null) {
            refuseAndClose(408, "body did not come");
            return;
        }
        closing = true;
        channel.close();
    }

    /** The process ends: a call that is under way gets its final answer by then. */
    void endBy(long at) {
        if (call != null) {
            call.endBy(at);
        }
    }

    /** Closes the connection if nothing is under way on it. */
    void closeIfIdle() {
        if (busy || isReading() || closing) {
            return;
        }
        closing = true;
        if (unsent == 0) {
            closeGently();
        }
    }

    /** Whether a request is being read, answered, or its answer has not left. */
    boolean isBusy() {
        return (busy || isReading()) && !closing || unsent > 0;
    }

    private boolean isReading() {
        return head != null || body != null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.readOn(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.remove(this);
        closing = true;
        abandonCall();
        dropBody();
        while (!ahead.isEmpty()) {
            ReferenceCountUtil.release(ahead.poll());
        }
    }

    private void abandonCall() {
        if (call != null) {
            call.abandon();
            call = null;
        }
    }

    private void dropBody() {
        head = null;
        if (gathered != null) {
            gathered.release();
            gathered = null;
        }
        if (body != null) {
            body.release();
            body = null;
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
