package org.berylwick.node.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.Clock;

/** A clock whose tasks run on an event loop. */
public record EventLoopClock(EventLoop loop) implements Clock {
    @Override
    public long now() {
        return System.nanoTime();
    }

    @Override
    public Timer schedule(long at, Runnable task) {
        ScheduledFuture<?> future = loop.schedule(task, Math.max(0, at - System.nanoTime()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void defer(Runnable task) {
        loop.execute(task);
    }
}
