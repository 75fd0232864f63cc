package org.berylwick.daemon.call;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Fails an HTTP/1.1 answer whose body ends only with its connection.
 *
 * <p>Without a length or chunks the close of the connection is the end of the body, also when the server crashed
 * midway: the caller would take a cut answer for a whole one. It is treated as cut. An answer that has no body ends
 * while its connection is open and passes.
 */
final class FramingCheck extends ChannelInboundHandlerAdapter {
    private boolean selfDelimited = true;

    /** Puts the check behind the codec of a client's pipeline, once there is one. */
    static final class Installer extends ChannelDuplexHandler {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ChannelHandlerContext codec = ctx.pipeline().context(HttpClientCodec.class);
            if (codec != null) {
                ctx.pipeline().addAfter(codec.name(), null, new FramingCheck());
                ctx.pipeline().remove(this);
            }
            ctx.write(message, promise);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpResponse head) {
            selfDelimited =
                    HttpUtil.isTransferEncodingChunked(head) || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        }
        if (message instanceof LastHttpContent lastContent
                && !selfDelimited
                && !ctx.channel().isActive()) {
            DefaultLastHttpContent failedContent = new DefaultLastHttpContent(lastContent.content());
            failedContent.setDecoderResult(
                    DecoderResult.failure(new IllegalStateException("the body has no announced end")));
            ctx.fireChannelRead(failedContent);
            return;
        }
        ctx.fireChannelRead(message);
    }
}
