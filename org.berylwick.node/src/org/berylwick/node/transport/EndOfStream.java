package org.berylwick.node.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Tells whether a connection ended because the server ended its stream; stands before the HTTP codec and is confined to
 * the event loop.
 *
 * <p>The codec takes any close of the connection for the end of a close-delimited response. Only the end of the stream
 * shows that such a response is complete: a read or a write that meets a reset closes the connection as well, and so
 * does this process.
 */
final class EndOfStream extends ChannelInboundHandlerAdapter {
    private enum Ending {
        OPEN,
        END_OF_STREAM,
        BROKEN
    }

    private Ending ending = Ending.OPEN;

    /** Returns whether the connection is closed without an end of the stream. */
    boolean isMissing() {
        return ending == Ending.BROKEN;
    }

    private void end(Ending cause) {
        if (ending == Ending.OPEN) {
            ending = cause;
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            end(Ending.END_OF_STREAM);
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A read that fails shuts the input down as well, after this call.
        end(Ending.BROKEN);
        ctx.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(Ending.BROKEN);
        ctx.fireChannelInactive();
    }
}
