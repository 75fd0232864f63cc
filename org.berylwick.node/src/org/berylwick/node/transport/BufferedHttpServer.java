package org.berylwick.node.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Function;

/** An HTTP server for small requests, which are buffered completely: readiness, heartbeats, metrics. */
public final class BufferedHttpServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 65_536;

    private final Channel listener;

    /**
     * A request.
     *
     * @param method HTTP method
     * @param uri request target
     * @param headers headers by lower-case name
     * @param body complete body
     */
    public record Request(String method, String uri, Map<String, String> headers, byte[] body) {}

    /**
     * A response.
     *
     * @param status HTTP status code
     * @param headers headers without Content-Length and Connection
     * @param body complete body
     */
    public record Response(int status, Map<String, String> headers, byte[] body) {
        /** Returns a response without a body. */
        public static Response ofStatus(int status) {
            return new Response(status, Map.of(), new byte[0]);
        }

        /** Returns a response with status 200 and a body of the given media type. */
        public static Response of(String contentType, byte[] body) {
            return new Response(200, Map.of("Content-Type", contentType), body);
        }
    }

    /** Handles requests on the event loop. */
    public interface Handler {
        /**
         * Handles a request.
         *
         * @param request the request
         * @param respond takes the response, once, at once or later; the next request on the connection waits for it
         */
        void handle(Request request, Consumer<Response> respond);
    }

    private BufferedHttpServer(Channel listener) {
        this.listener = listener;
    }

    /**
     * Opens a port.
     *
     * @param loop event loop on which requests are handled
     * @param address address to listen on
     * @param requestHandler produces the response to a request
     */
    public static BufferedHttpServer open(
            EventLoop loop, InetSocketAddress address, Function<Request, Response> requestHandler) {
        return openDeferred(loop, address, (request, respond) -> respond.accept(requestHandler.apply(request)));
    }

    /**
     * Opens a port whose requests may be answered later.
     *
     * @param loop event loop on which requests are handled
     * @param address address to listen on
     * @param requestHandler produces the response to a request
     */
    public static BufferedHttpServer openDeferred(EventLoop loop, InetSocketAddress address, Handler requestHandler) {
        Channel listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveAllocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec());
                        channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
                        channel.pipeline().addLast(new RequestChannelHandler(requestHandler));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new BufferedHttpServer(listener);
    }

    /** Returns the port on which this server listens. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close();
    }

    private static final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler requestHandler;
        private final Queue<PendingRequest> waiting = new ArrayDeque<>();
        private boolean handling;

        private record PendingRequest(Request request, boolean keepAlive) {}

        RequestChannelHandler(Handler requestHandler) {
            this.requestHandler = requestHandler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest httpRequest) {
            byte[] body = new byte[httpRequest.content().readableBytes()];
            httpRequest.content().readBytes(body);
            Map<String, String> headers = new HashMap<>();
            httpRequest
                    .headers()
                    .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            Request request = new Request(httpRequest.method().name(), httpRequest.uri(), headers, body);
            waiting.add(new PendingRequest(request, HttpUtil.isKeepAlive(httpRequest)));
            handleNext(ctx);
        }

        private void handleNext(ChannelHandlerContext ctx) {
            if (handling || waiting.isEmpty()) {
                return;
            }
            handling = true;
            PendingRequest next = waiting.remove();
            requestHandler.handle(next.request(), response -> {
                write(ctx, response, next.keepAlive());
                handling = false;
                handleNext(ctx);
            });
        }

        private static void write(ChannelHandlerContext ctx, Response response, boolean keepAlive) {
            FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            response.headers().forEach(httpResponse.headers()::set);
            HttpUtil.setKeepAlive(httpResponse, keepAlive);
            ctx.writeAndFlush(httpResponse).addListener(result -> {
                if (!keepAlive) {
                    ctx.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
