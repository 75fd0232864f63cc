package org.berylwick.daemon.call;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import org.berylwick.node.transport.BodyCollector;

/**
 * Joins the small chunks of a response body that are read together; follows the HTTP codec of a client.
 *
 * <p>What is read ahead of a slow caller is limited by its bytes. A chunk of a few bytes costs far more in objects.
 */
final class ChunkCollector extends ChannelInboundHandlerAdapter {
    private BodyCollector collector;

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        collector = new BodyCollector(part -> ctx.fireChannelRead(new DefaultHttpContent(part)));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpContent content
                && !(message instanceof LastHttpContent)
                && content.decoderResult().isSuccess()) {
            collector.add(content.content());
            return;
        }
        collector.flush();
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        collector.flush();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        collector.clear();
    }
}
