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
import java.util.Optional;
import java.util.function.LongFunction;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.version.VersionKeeper;

/** A connection of another node: its requests for the backend server here, or for the version; on the event loop. */
final class PeerHandler extends ChannelInboundHandlerAdapter implements AttemptListener {
    private static final int MOST_PARTS = 1024;
    private static final byte[] NOTHING = new byte[0];

    private final Owner owner;
    private final LongFunction<Optional<byte[]>> delivery;
    private Channel channel;
    private HttpRequest head;
    private CompositeByteBuf body;
    private ByteBuf sent;
    private Attempt attempt;
    private boolean begun;
    private boolean flushPlanned;

    PeerHandler(Owner owner, LongFunction<Optional<byte[]>> delivery) {
        this.owner = owner;
        this.delivery = delivery;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            head = request;
            body = Unpooled.compositeBuffer(MOST_PARTS);
        }
        if (!(message instanceof HttpContent content) || body == null) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            ctx.close();
            return;
        }
        body.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            serve();
        }
    }

    private void serve() {
        HttpRequest request = head;
        sent = body;
        body = null;
        begun = false;
        Optional<CallSpec> call =
                PeerCodec.readCall(request, Headers.endToEnd(request.headers()), sent, System.nanoTime());
        if (call.isPresent()) {
            attempt = owner.offer(call.get(), this);
            return;
        }
        releaseBody();
        Optional<byte[]> delivered = baseOf(request.uri()).flatMap(delivery::apply);
        write(delivered.isPresent() ? 200 : 404, Unpooled.wrappedBuffer(delivered.orElse(NOTHING)), "");
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
        begun = true;
        channel.write(response);
    }

    @Override
    public void onBody(ByteBuf part) {
        channel.write(new DefaultHttpContent(part));
        flushSoon();
        if (!channel.isWritable() && attempt != null) {
            attempt.readOn(false);
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
        if (attempt != null) {
            attempt.readOn(channel.isWritable());
        }
    }

    @Override
    public void onEnd() {
        over();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void onRefused(Refusal refusal) {
        over();
        write(503, Unpooled.EMPTY_BUFFER, PeerCodec.refusedText(refusal));
    }

    @Override
    public void onLost(String cause) {
        over();
        if (begun) {
            channel.close();
            return;
        }
        write(502, Unpooled.EMPTY_BUFFER, PeerCodec.lostText(cause));
    }

    private void over() {
        attempt = null;
        releaseBody();
    }

    private void releaseBody() {
        if (sent != null) {
            sent.release();
            sent = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // The entry gave the request up, or its node died: nobody waits for the answer any more.
        if (attempt != null) {
            attempt.cancel();
        }
        over();
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
