package org.berylwick.bench.emulate;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.berylwick.node.lib.Clock;

/** A clock that jumps from one planned task to the next; one thread only. */
public final class VirtualClock implements Clock {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private long now;
    private long number;

    private static final class Task implements Timer {
        private final long at;
        private final long number;
        private Runnable action;

        private Task(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
            this.action = action;
        }

        long at() {
            return at;
        }

        long number() {
            return number;
        }

        @Override
        public void cancel() {
            action = null;
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer schedule(long at, Runnable task) {
        Task planned = new Task(Math.max(now, at), number++, task);
        tasks.add(planned);
        return planned;
    }

    /** Plans a task for some time from now. */
    public Timer after(long nanos, Runnable task) {
        return schedule(now + nanos, task);
    }

    @Override
    public void defer(Runnable task) {
        schedule(now, task);
    }

    /** Runs what is planned until a moment, also what is planned meanwhile. */
    public void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.poll();
            now = task.at;
            if (task.action != null) {
                task.action.run();
            }
        }
        now = end;
    }
}
