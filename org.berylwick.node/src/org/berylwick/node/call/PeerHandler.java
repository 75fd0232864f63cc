package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.log.Event;
import org.berylwick.node.transport.OutgoingLink;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.VmLink;
import org.berylwick.node.version.VersionUpdater;

/**
 * Serves a connection from another node: requests for the backend server of this node, and requests for the current
 * configuration version; confined to the event loop.
 */
final class PeerHandler extends ChannelInboundHandlerAdapter implements AttemptListener, OutgoingLink.Sink {
    private static final int MAX_BUFFER_COMPONENTS = 1024;
    /** Latency objective of sending a version; puts it before responses with a later objective. */
    private static final long VERSION_OBJECTIVE_NANOS = 200_000_000L;
    /** Deadline of sending a version; a node that has not received it by then has asked another node. */
    private static final long VERSION_DEADLINE_NANOS = 1_500_000_000L;

    private final Owner owner;
    private final VmLink link;
    private final LongFunction<Optional<byte[]>> versionUpdates;
    private Channel channel;
    private HttpRequest requestHead;
    private RequestBody body;
    private CompositeByteBuf bufferedBody;
    private boolean discardingBody;
    private Attempt attempt;
    private String requestId = "";
    private long responseStartedAt;
    private long objectiveAt;
    private long deadlineAt;
    private Optional<OutgoingLink.Flow> responseFlow = Optional.empty();
    /**
     * Closes the connection at the deadline: a node that lost power accepts no bytes, and the response queued for it
     * would hold memory.
     */
    private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();

    private boolean flushScheduled;

    PeerHandler(Owner owner, VmLink link, LongFunction<Optional<byte[]>> versionUpdates) {
        this.owner = owner;
        this.link = link;
        this.versionUpdates = versionUpdates;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            onRequestHead(request);
        }
        if (message instanceof HttpContent content) {
            onRequestContent(content);
            return;
        }
        ReferenceCountUtil.release(message);
    }

    private void onRequestHead(HttpRequest request) {
        requestHead = request;
        discardingBody = false;
        long length = HttpUtil.getContentLength(request, 0L);
        if (length >= RequestBody.MIN_STREAMED_BYTES && length <= Integer.MAX_VALUE) {
            body = HttpUtil.is100ContinueExpected(request)
                    ? RequestBody.deferred((int) length, link.incoming(), this::sendContinue)
                    : RequestBody.incoming((int) length, link.incoming());
            handleRequest();
            return;
        }
        bufferedBody = Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS);
    }

    private void sendContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    private void onRequestContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            channel.close();
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (discardingBody || body == null && bufferedBody == null) {
            content.release();
            return;
        }
        if (bufferedBody == null) {
            addBodyPart(content, last);
            return;
        }
        bufferedBody.addComponent(true, content.content());
        if (last) {
            body = RequestBody.of(bufferedBody);
            bufferedBody = null;
            handleRequest();
        }
    }

    private void addBodyPart(HttpContent content, boolean last) {
        RequestBody streamedBody = body;
        streamedBody.addPart(content.content());
        if (last) {
            streamedBody.markComplete();
        }
    }

    private void handleRequest() {
        HttpRequest request = requestHead;
        Optional<CallSpec> call =
                PeerCodec.decodeCall(request, Headers.endToEnd(request.headers()), body, System.nanoTime());
        if (call.isPresent()) {
            requestId = call.get().id();
            objectiveAt = call.get().objectiveAt();
            deadlineAt = call.get().deadlineAt();
            attempt = owner.offer(call.get(), this);
            return;
        }
        releaseBody();
        Optional<byte[]> update = parseBaseVersion(request.uri()).flatMap(versionUpdates::apply);
        if (update.isEmpty()) {
            writeResponse(404, Unpooled.EMPTY_BUFFER, Headers.empty());
            return;
        }
        sendVersion(update.get());
    }

    /**
     * Sends a version through the outgoing link. A complete version is large for a narrow link, so it is paced, but
     * sent before most responses.
     */
    private void sendVersion(byte[] encodedUpdate) {
        long now = System.nanoTime();
        requestId = "version";
        responseStartedAt = now;
        objectiveAt = now + VERSION_OBJECTIVE_NANOS;
        deadlineAt = now + VERSION_DEADLINE_NANOS;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, encodedUpdate.length);
        channel.write(response);
        responseFlow = Optional.of(link.outgoing().openFlow(this, objectiveAt));
        responseFlow.get().write(Unpooled.wrappedBuffer(encodedUpdate));
        onEnd();
    }

    private static Optional<Long> parseBaseVersion(String uri) {
        if (!uri.startsWith(VersionUpdater.VERSION_PATH)) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(uri.substring(VersionUpdater.VERSION_PATH.length())));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private HttpHeaders setOutcome(HttpHeaders headers, String outcome) {
        return headers.set(Headers.OUTCOME, outcome).set(Headers.REQUEST, requestId);
    }

    private void writeResponse(int status, ByteBuf bytes, HttpHeaders headers) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), bytes);
        response.headers().add(headers).set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        link.outgoing().recordSmallWrite(OutgoingLink.MESSAGE_HEAD_BYTES + bytes.readableBytes());
        channel.writeAndFlush(response);
    }

    @Override
    public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        setOutcome(response.headers(), PeerCodec.encodeAnswered(load));
        HttpUtil.setTransferEncodingChunked(response, true);
        if (!channel.isActive()) {
            // A non-idempotent request runs to its end even if the connection of its entry node has closed.
            return;
        }
        responseStartedAt = System.nanoTime();
        responseFlow = Optional.of(link.outgoing().openFlow(this, objectiveAt));
        link.outgoing().recordSmallWrite(OutgoingLink.MESSAGE_HEAD_BYTES);
        channel.write(response);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (responseFlow.isEmpty()) {
            part.release();
            return;
        }
        responseFlow.get().write(part);
    }

    @Override
    public void write(ByteBuf part) {
        channel.write(new DefaultHttpContent(part));
        scheduleFlush();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void setSourceReading(boolean enabled) {
        if (attempt != null) {
            attempt.setAutoRead(enabled);
        }
    }

    /**
     * Defers the flush, so that the end of a small response, which usually arrives together with its head, is written
     * in the same system call.
     */
    private void scheduleFlush() {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        channel.eventLoop().execute(() -> {
            flushScheduled = false;
            channel.flush();
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            responseFlow.ifPresent(OutgoingLink.Flow::onWritable);
        }
    }

    @Override
    public void onEnd() {
        finishAttempt();
        responseFlow.ifPresent(flow -> flow.finish(() -> {
            logIfLate(flow, true);
            responseFlow = Optional.empty();
            cancelDeadlineTimer();
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }));
        if (responseFlow.isPresent()) {
            long remainingNanos = deadlineAt - System.nanoTime();
            deadlineTimer = Optional.of(
                    channel.eventLoop().schedule(() -> channel.close(), remainingNanos, TimeUnit.NANOSECONDS));
        }
    }

    private void logIfLate(OutgoingLink.Flow flow, boolean complete) {
        long now = System.nanoTime();
        long queuedBytes = flow.queuedBytes();
        if (complete && now <= objectiveAt || !link.outgoing().isLarge(flow.sentBytes() + queuedBytes)) {
            return;
        }
        owner.log()
                .write(
                        Event.ANSWER_LATE_AT_LINK,
                        "id",
                        requestId,
                        "left",
                        complete,
                        "sentBytes",
                        flow.sentBytes(),
                        "waitingBytes",
                        queuedBytes,
                        "forMs",
                        (now - responseStartedAt) / 1_000_000,
                        "lateMs",
                        (now - objectiveAt) / 1_000_000,
                        "leftMs",
                        (deadlineAt - now) / 1_000_000,
                        "paused",
                        flow.isPaused(),
                        "linkBusyMs",
                        link.outgoing().busyNanos() / 1_000_000,
                        "flows",
                        link.outgoing().queuedFlowCount());
    }

    private void cancelDeadlineTimer() {
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        deadlineTimer = Optional.empty();
    }

    @Override
    public void onRefused(Refusal refusal) {
        finishAttempt();
        writeResponse(503, Unpooled.EMPTY_BUFFER, setOutcome(Headers.empty(), PeerCodec.encodeRefused(refusal)));
    }

    @Override
    public void onLost(Loss loss) {
        finishAttempt();
        if (responseFlow.isPresent()) {
            channel.close();
            return;
        }
        HttpHeaders headers = setOutcome(Headers.empty(), PeerCodec.encodeLost(loss.cause()));
        loss.crash().ifPresent(c -> headers.set(Headers.CRASH, PeerCodec.encodeCrash(c, System.nanoTime())));
        writeResponse(502, Unpooled.EMPTY_BUFFER, headers);
    }

    /** Whether a response has begun and has not been written completely. */
    boolean isResponding() {
        return responseFlow.isPresent();
    }

    private void finishAttempt() {
        attempt = null;
        releaseBody();
    }

    private void releaseBody() {
        if (body != null) {
            // The rest of the body of a request that was answered early is discarded as it arrives.
            discardingBody = !body.isComplete();
            body.release();
            body = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // The entry node cancelled the request or died: nothing waits for the response any more.
        if (attempt != null) {
            attempt.cancel();
        }
        finishAttempt();
        responseFlow.ifPresent(flow -> {
            logIfLate(flow, false);
            flow.cancel();
        });
        responseFlow = Optional.empty();
        cancelDeadlineTimer();
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
