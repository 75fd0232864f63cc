package org.berylwick.transport;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes that connections carry, with all framing of the HTTP library but without that of TCP and IP.
 *
 * <p>Put on the connections that a process opens and on none that it accepts, so that over a fleet each byte is counted
 * once.
 */
@Sharable
public final class WireMeter extends ChannelDuplexHandler {
    private final Counter sent;
    private final Counter received;

    /** Counts into two counters, in bytes. */
    public WireMeter(Counter sent, Counter received) {
        this.sent = sent;
        this.received = received;
    }

    /** Puts the meter where it sees what goes over the socket. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addFirst(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            received.inc(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sent.inc(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
