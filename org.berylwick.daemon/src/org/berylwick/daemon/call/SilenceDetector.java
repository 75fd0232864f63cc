package org.berylwick.daemon.call;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;

/**
 * Closes an HTTP/2 connection on which nothing is received any more.
 *
 * <p>A connection may stop delivering data permanently without being closed; each request on it would then wait until
 * its deadline. The client library pings only connections on which nothing is written, so requests with bodies would
 * hide the failure; this handler considers received data only. It sends a ping if nothing was received for one second
 * and something was written since the last receipt, or if nothing was received for three seconds on an idle connection.
 * If nothing is received within two seconds after the ping, it closes the connection: pending requests end immediately
 * with unknown outcome, and the next request opens a new connection.
 */
final class SilenceDetector extends ChannelDuplexHandler {
    private static final EventLog EVENTS = new EventLog(SilenceDetector.class);
    private static final long CHECK_INTERVAL_MILLIS = 250;
    private static final long BUSY_PING_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long IDLE_PING_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long PING_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private long lastReadNanos;
    private boolean writtenSinceRead;
    private boolean pingPending;
    private long pingSentNanos;
    private ScheduledFuture<?> checkTask;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        lastReadNanos = System.nanoTime();
        checkTask = ctx.executor()
                .scheduleWithFixedDelay(
                        () -> checkConnection(ctx),
                        CHECK_INTERVAL_MILLIS,
                        CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        recordRead();
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        writtenSinceRead = true;
        ctx.write(message, promise);
    }

    private void recordRead() {
        lastReadNanos = System.nanoTime();
        writtenSinceRead = false;
        pingPending = false;
    }

    private void checkConnection(ChannelHandlerContext ctx) {
        // Reading is paused by backpressure from a slow caller, so nothing can be received.
        if (!ctx.channel().config().isAutoRead()) {
            recordRead();
            return;
        }
        long nowNanos = System.nanoTime();
        if (pingPending) {
            if (nowNanos - pingSentNanos >= PING_TIMEOUT_NANOS) {
                EVENTS.log(CallEvent.SILENT_CONNECTION, ctx.channel().remoteAddress());
                ctx.close();
            }
            return;
        }
        if (nowNanos - lastReadNanos >= (writtenSinceRead ? BUSY_PING_DELAY_NANOS : IDLE_PING_DELAY_NANOS)) {
            ping(ctx, nowNanos);
        }
    }

    private void ping(ChannelHandlerContext ctx, long nowNanos) {
        Http2ConnectionHandler http2Handler = ctx.pipeline().get(Http2ConnectionHandler.class);
        if (http2Handler == null) {
            return;
        }
        pingPending = true;
        pingSentNanos = nowNanos;
        ChannelHandlerContext http2Context = ctx.pipeline().context(http2Handler);
        http2Handler.encoder().writePing(http2Context, false, nowNanos, http2Context.newPromise());
        http2Context.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (checkTask != null) {
            checkTask.cancel(false);
        }
        ctx.fireChannelInactive();
    }
}
