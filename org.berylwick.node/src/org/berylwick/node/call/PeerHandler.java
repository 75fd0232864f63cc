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
import org.berylwick.node.transport.IncomingLink;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.version.VersionKeeper;

/** A connection of another node: its requests for the backend server here, or for the version; on the event loop. */
final class PeerHandler extends ChannelInboundHandlerAdapter implements AttemptListener {
    private static final int MOST_PARTS = 1024;
    private static final byte[] NOTHING = new byte[0];

    private final Owner owner;
    private final IncomingLink link;
    private final LongFunction<Optional<byte[]>> delivery;
    private Channel channel;
    private HttpRequest head;
    private RequestBody body;
    private CompositeByteBuf gathered;
    private boolean dropping;
    private Attempt attempt;
    private boolean begun;
    private boolean flushPlanned;

    PeerHandler(Owner owner, IncomingLink link, LongFunction<Optional<byte[]>> delivery) {
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
        if (length >= RequestBody.LEAST_STREAMED && length <= Integer.MAX_VALUE) {
            body = HttpUtil.is100ContinueExpected(request)
                    ? RequestBody.keptBack((int) length, link, this::askForBody)
                    : RequestBody.coming((int) length, link);
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
        coming.add(content.content());
        if (last) {
            coming.end();
        }
    }

    private void serve() {
        HttpRequest request = head;
        begun = false;
        Optional<CallSpec> call =
                PeerCodec.readCall(request, Headers.endToEnd(request.headers()), body, System.nanoTime());
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
        if (body != null) {
            // What is still to come of a request that was answered early belongs to nothing.
            dropping = !body.isWhole();
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
