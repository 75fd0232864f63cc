package org.berylwick.daemon.call;

import com.linecorp.armeria.common.Flags;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.util.List;
import org.berylwick.node.transport.ResponseHeadScanner;

/**
 * HTTP/1.1 client codec for one request at a time that never composes a response of two.
 *
 * <p>A server may send a second response to an earlier request and break it off within its head. A codec that keeps
 * these bytes decodes them with the head of the next response: the status line of one, the header fields of the other.
 * Here, bytes that arrive while no request awaits its response are dropped and close the connection, and a head that
 * contains a second status line is malformed.
 */
public final class SingleResponseCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** Method of the request that awaits its response; null if there is none. */
    private HttpMethod pendingMethod;

    private SingleResponseCodec() {
        init(new ResponseDecoder(), new RequestEncoder());
    }

    /** Replaces the HTTP codec of a client pipeline, and adds the {@link ChunkCollector}, before it connects. */
    public static final class Installer extends ChannelOutboundHandlerAdapter {
        private final boolean checksFraming;

        private Installer(boolean checksFraming) {
            this.checksFraming = checksFraming;
        }

        /** Returns an installer that also adds the {@link FramingCheck}. */
        static Installer withFramingCheck() {
            return new Installer(true);
        }

        /** Returns an installer for a client that does not use the bodies of responses, which may be cut short. */
        public static Installer withoutFramingCheck() {
            return new Installer(false);
        }

        @Override
        public void connect(
                ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            ChannelPipeline pipeline = ctx.pipeline();
            String name = pipeline.context(HttpClientCodec.class).name();
            pipeline.replace(name, name, new SingleResponseCodec());
            if (checksFraming) {
                pipeline.addAfter(name, null, new FramingCheck());
            }
            pipeline.addAfter(name, null, new ChunkCollector());
            ctx.connect(remote, local, promise);
            pipeline.remove(this);
        }
    }

    private final class RequestEncoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                String requestId = request.headers().get(CallHeaders.REQUEST_ID, "");
                if (ShedRequests.contains(ctx.channel(), requestId)) {
                    // Nothing is written, so that the request counts as not run; its next attempt opens a connection.
                    ctx.close();
                    throw new IllegalStateException("request was shed on this connection before");
                }
                pendingMethod = request.method();
            }
            super.encode(ctx, message, out);
        }
    }

    private final class ResponseDecoder extends HttpResponseDecoder {
        private final ResponseHeadScanner headScanner = new ResponseHeadScanner();
        private int responses;
        private boolean closeAfterResponse;
        private boolean informational;
        /** More bytes than the response were read. A request that is sent after them must not be given them. */
        private boolean surplus;

        private ResponseDecoder() {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(Flags.defaultHttp1MaxInitialLineLength())
                    .setMaxHeaderSize(Flags.defaultHttp1MaxHeaderSize())
                    .setMaxChunkSize(Flags.defaultHttp1MaxChunkSize()));
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
            if (pendingMethod == null || surplus) {
                surplus = true;
                buffer.skipBytes(buffer.readableBytes());
                ctx.close();
                return;
            }
            checkHead(buffer);
            int decodedBefore = out.size();
            int readableBefore = buffer.readableBytes();
            super.decode(ctx, buffer, out);
            headScanner.onRead(readableBefore - buffer.readableBytes());
            for (Object message : out.subList(decodedBefore, out.size())) {
                onDecoded(ctx, message, buffer);
            }
        }

        private void checkHead(ByteBuf buffer) {
            ResponseHeadScanner.Result result = headScanner.scan(buffer);
            while (result == ResponseHeadScanner.Result.STATUS_LINE_IN_VALUE && responses == 0) {
                // The server quotes it, so that no later response could be told from parts of two.
                closeAfterResponse = true;
                result = headScanner.scan(buffer);
            }
            switch (result) {
                case VALID -> {}
                case NO_STATUS_LINE -> throw corrupted("response begins with no status line");
                case INVALID_STATUS_CODE -> throw corrupted("status code of a response is invalid");
                case INVALID_HEADER_NAME -> throw corrupted("name of a response header is invalid");
                case SECOND_STATUS_LINE, STATUS_LINE_IN_VALUE ->
                    throw corrupted("head of a response contains a second status line");
            }
        }

        private CorruptedFrameException corrupted(String problem) {
            surplus = true;
            return new CorruptedFrameException(problem);
        }

        private void onDecoded(ChannelHandlerContext ctx, Object message, ByteBuf buffer) {
            if (message instanceof HttpResponse response) {
                informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (!(message instanceof LastHttpContent)) {
                return;
            }
            headScanner.reset();
            if (informational) {
                return;
            }
            responses++;
            pendingMethod = null;
            surplus = buffer.isReadable();
            if (closeAfterResponse) {
                ctx.channel().eventLoop().execute(ctx::close);
            }
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(pendingMethod) || super.isContentAlwaysEmpty(message);
        }
    }
}
