package org.berylwick.daemon.call;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Fails an HTTP/1.1 response whose body is delimited only by the close of its connection.
 *
 * <p>Without Content-Length or chunked encoding, the close of the connection ends the body even if the server crashed
 * before it sent all of it, and the caller would take a truncated response for a complete one. Such a response is
 * treated as truncated. A response without a body ends while its connection is open and passes.
 */
final class FramingCheck extends ChannelInboundHandlerAdapter {
    private boolean selfDelimited = true;

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
            failedContent.setDecoderResult(DecoderResult.failure(
                    new IllegalStateException("response body has neither Content-Length nor chunked encoding")));
            ctx.fireChannelRead(failedContent);
            return;
        }
        ctx.fireChannelRead(message);
    }
}
