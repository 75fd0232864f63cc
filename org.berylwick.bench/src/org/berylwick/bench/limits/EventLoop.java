package org.berylwick.bench.limits;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.berylwick.internal.limit.Scheduler;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** A clock that jumps from one planned task to the next; one thread only. */
public final class EventLoop implements TimeSource, Scheduler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));
    private long nowNanos;
    private long sequence;

    private record Task(long atNanos, long sequence, Runnable action) {}

    @Override
    public void schedule(Deadline deadline, Runnable task) {
        tasks.add(new Task(Math.max(nowNanos, deadline.atNanos()), sequence++, task));
    }

    /** Plans a task for {@code nanos} from now. */
    public void after(long nanos, Runnable task) {
        tasks.add(new Task(nowNanos + nanos, sequence++, task));
    }

    /** Runs what is planned in the next {@code span}, also what is planned meanwhile. */
    public void run(Duration span) {
        long until = nowNanos + span.toNanos();
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= until) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = until;
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public long epochMillis() {
        return nowNanos / NANOS_PER_MILLI;
    }
}
