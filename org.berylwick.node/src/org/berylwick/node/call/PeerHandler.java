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
import org.berylwick.node.version.VersionKeeper;

/** A connection of another node: its requests for the backend server here, or for the version; on the event loop. */
final class PeerHandler extends ChannelInboundHandlerAdapter implements AttemptListener, OutgoingLink.Sink {
    private static final int MOST_PARTS = 1024;
    /** Versions are wanted soon, and before answers whose objective is further off. */
    private static final long VERSION_DUE_NANOS = 200_000_000L;
    /** A node that has not taken a version by then has asked another. */
    private static final long VERSION_TAKEN_NANOS = 1_500_000_000L;

    private final Owner owner;
    private final VmLink link;
    private final LongFunction<Optional<byte[]>> delivery;
    private Channel channel;
    private HttpRequest head;
    private RequestBody body;
    private CompositeByteBuf gathered;
    private boolean dropping;
    private Attempt attempt;
    private String answerId = "";
    private long answerAt;
    private long dueAt;
    private long deadlineAt;
    private Optional<OutgoingLink.Flow> answer = Optional.empty();
    /**
     * Ends the connection at the deadline: a node that lost power takes no bytes, and what waits for it holds memory.
     */
    private Optional<ScheduledFuture<?>> expiry = Optional.empty();

    private boolean flushPlanned;

    PeerHandler(Owner owner, VmLink link, LongFunction<Optional<byte[]>> delivery) {
        this.owner = owner;
        this.link = link;
        this.delivery = delivery;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            takeHead(request);
        }
        if (message instanceof HttpContent content) {
            takeContent(content);
            return;
        }
        ReferenceCountUtil.release(message);
    }

    private void takeHead(HttpRequest request) {
        head = request;
        dropping = false;
        long length = HttpUtil.getContentLength(request, 0L);
        if (length >= RequestBody.MIN_STREAMED_BYTES && length <= Integer.MAX_VALUE) {
            body = HttpUtil.is100ContinueExpected(request)
                    ? RequestBody.deferred((int) length, link.incoming(), this::askForBody)
                    : RequestBody.incoming((int) length, link.incoming());
            serve();
            return;
        }
        gathered = Unpooled.compositeBuffer(MOST_PARTS);
    }

    private void askForBody() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    private void takeContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            channel.close();
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (dropping || body == null && gathered == null) {
            content.release();
            return;
        }
        if (gathered == null) {
            takePart(content, last);
            return;
        }
        gathered.addComponent(true, content.content());
        if (last) {
            body = RequestBody.of(gathered);
            gathered = null;
            serve();
        }
    }

    private void takePart(HttpContent content, boolean last) {
        RequestBody coming = body;
        coming.addPart(content.content());
        if (last) {
            coming.markComplete();
        }
    }

    private void serve() {
        HttpRequest request = head;
        Optional<CallSpec> call =
                PeerCodec.readCall(request, Headers.endToEnd(request.headers()), body, System.nanoTime());
        if (call.isPresent()) {
            answerId = call.get().id();
            dueAt = call.get().objectiveAt();
            deadlineAt = call.get().deadlineAt();
            attempt = owner.offer(call.get(), this);
            return;
        }
        releaseBody();
        Optional<byte[]> delivered = baseOf(request.uri()).flatMap(delivery::apply);
        if (delivered.isEmpty()) {
            write(404, Unpooled.EMPTY_BUFFER, "");
            return;
        }
        deliver(delivered.get());
    }

    /** Sends a version; a whole one is large for a narrow link, and takes its turn before most answers. */
    private void deliver(byte[] version) {
        long now = System.nanoTime();
        answerId = "version";
        answerAt = now;
        dueAt = now + VERSION_DUE_NANOS;
        deadlineAt = now + VERSION_TAKEN_NANOS;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, version.length);
        channel.write(response);
        answer = Optional.of(link.outgoing().openFlow(this, dueAt));
        answer.get().write(Unpooled.wrappedBuffer(version));
        onEnd();
    }

    private static Optional<Long> baseOf(String uri) {
        if (!uri.startsWith(VersionKeeper.VERSION_PATH)) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(uri.substring(VersionKeeper.VERSION_PATH.length())));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private void write(int status, ByteBuf bytes, String outcome) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), bytes);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        if (!outcome.isEmpty()) {
            response.headers().set(Headers.OUTCOME, outcome);
        }
        channel.writeAndFlush(response);
    }

    @Override
    public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        response.headers().set(Headers.OUTCOME, PeerCodec.answeredText(load));
        HttpUtil.setTransferEncodingChunked(response, true);
        if (!channel.isActive()) {
            // What must run once runs to its end, also when nobody waits for its answer any more.
            return;
        }
        answerAt = System.nanoTime();
        answer = Optional.of(link.outgoing().openFlow(this, dueAt));
        channel.write(response);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (answer.isEmpty()) {
            part.release();
            return;
        }
        answer.get().write(part);
    }

    @Override
    public void write(ByteBuf part) {
        channel.write(new DefaultHttpContent(part));
        flushSoon();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void setSourceReading(boolean on) {
        if (attempt != null) {
            attempt.readOn(on);
        }
    }

    /** Leaves the end of a small answer, which mostly came with its head, time to join the same write. */
    private void flushSoon() {
        if (flushPlanned) {
            return;
        }
        flushPlanned = true;
        channel.eventLoop().execute(() -> {
            flushPlanned = false;
            channel.flush();
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            answer.ifPresent(OutgoingLink.Flow::onWritable);
        }
    }

    @Override
    public void onEnd() {
        over();
        answer.ifPresent(a -> a.finish(() -> {
            logIfLate(a, true);
            answer = Optional.empty();
            cancelExpiry();
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }));
        if (answer.isPresent()) {
            long left = deadlineAt - System.nanoTime();
            expiry = Optional.of(channel.eventLoop().schedule(() -> channel.close(), left, TimeUnit.NANOSECONDS));
        }
    }

    private void logIfLate(OutgoingLink.Flow flow, boolean left) {
        long now = System.nanoTime();
        long waiting = flow.queuedBytes();
        if (left && now <= dueAt || !link.outgoing().isLarge(flow.sentBytes() + waiting)) {
            return;
        }
        owner.log()
                .write(
                        Event.ANSWER_LATE_AT_LINK,
                        "id",
                        answerId,
                        "left",
                        left,
                        "sentBytes",
                        flow.sentBytes(),
                        "waitingBytes",
                        waiting,
                        "forMs",
                        (now - answerAt) / 1_000_000,
                        "lateMs",
                        (now - dueAt) / 1_000_000,
                        "leftMs",
                        (deadlineAt - now) / 1_000_000,
                        "paused",
                        flow.isPaused(),
                        "linkBusyMs",
                        link.outgoing().busyNanos() / 1_000_000,
                        "flows",
                        link.outgoing().queuedFlowCount());
    }

    private void cancelExpiry() {
        expiry.ifPresent(e -> e.cancel(false));
        expiry = Optional.empty();
    }

    @Override
    public void onRefused(Refusal refusal) {
        over();
        write(503, Unpooled.EMPTY_BUFFER, PeerCodec.refusedText(refusal));
    }

    @Override
    public void onLost(String cause) {
        over();
        if (answer.isPresent()) {
            channel.close();
            return;
        }
        write(502, Unpooled.EMPTY_BUFFER, PeerCodec.lostText(cause));
    }

    /** Whether an answer has begun and not been written to its end. */
    boolean isAnswering() {
        return answer.isPresent();
    }

    private void over() {
        attempt = null;
        releaseBody();
    }

    private void releaseBody() {
        if (body != null) {
            // What is still to come of a request that was answered early belongs to nothing.
            dropping = !body.isComplete();
            body.release();
            body = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // The entry gave the request up, or its node died: nobody waits for the answer any more.
        if (attempt != null) {
            attempt.cancel();
        }
        over();
        answer.ifPresent(a -> {
            logIfLate(a, false);
            a.cancel();
        });
        answer = Optional.empty();
        cancelExpiry();
        if (gathered != null) {
            gathered.release();
            gathered = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
