package org.berylwick.daemon.call;

import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.Optional;

/**
 * Runs a callback as soon as an HTTP/1.1 caller closes its connection.
 *
 * <p>The server library waits one second before it aborts the request of a closed HTTP/1.1 connection. In a chain of
 * ten calls this would add up to ten seconds in which servers work on an abandoned request. HTTP/2 streams are reset
 * without this delay, so no callback is registered for them.
 */
final class CallerDisconnectListener implements AutoCloseable {
    private final Optional<Channel> channel;
    private final ChannelFutureListener listener;

    private CallerDisconnectListener(Optional<Channel> channel, Runnable onDisconnect) {
        this.channel = channel;
        this.listener = closed -> onDisconnect.run();
        channel.ifPresent(c -> c.closeFuture().addListener(listener));
    }

    /** Registers a callback for the connection of a request; {@link #close()} removes it. */
    static CallerDisconnectListener register(ServiceRequestContext context, Runnable onDisconnect) {
        boolean multiplexed = context.sessionProtocol().isMultiplex();
        Channel channel = context.log().partial().channel();
        return new CallerDisconnectListener(
                multiplexed ? Optional.empty() : Optional.ofNullable(channel), onDisconnect);
    }

    @Override
    public void close() {
        channel.ifPresent(c -> c.closeFuture().removeListener(listener));
    }
}
