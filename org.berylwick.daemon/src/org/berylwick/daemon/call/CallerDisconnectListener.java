package org.berylwick.daemon.call;

import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.Optional;

/**
 * Tells at once when an HTTP/1.1 caller closes its connection.
 *
 * <p>The server library waits a second before it ends the request of a closed HTTP/1.1 connection. Through calls ten
 * deep that would be ten seconds in which servers work for nobody. HTTP/2 streams are reset without that wait.
 */
final class CallerDisconnectListener implements AutoCloseable {
    private final Optional<Channel> channel;
    private final ChannelFutureListener listener;

    private CallerDisconnectListener(Optional<Channel> channel, Runnable onDisconnect) {
        this.channel = channel;
        this.listener = closed -> onDisconnect.run();
        channel.ifPresent(c -> c.closeFuture().addListener(listener));
    }

    /** Begins to watch the caller of a request. */
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
