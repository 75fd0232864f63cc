package org.berylwick.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.berylwick.internal.limit.Scheduler;
import org.berylwick.lib.Deadline;

/** Runs tasks in order of their times as a test moves its clock on. */
public final class ManualAlarm implements Scheduler {
    private final ManualTimeSource time;
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong((Entry e) -> e.at.atNanos()));

    private record Entry(Deadline at, Runnable task) {}

    /** An alarm on {@code time}. */
    public ManualAlarm(ManualTimeSource time) {
        this.time = time;
    }

    @Override
    public void schedule(Deadline deadline, Runnable task) {
        entries.add(new Entry(deadline, task));
    }

    /** Moves the clock on and runs what falls due on the way, each task at its own time. */
    public void advance(Duration by) {
        long until = time.nanoTime() + by.toNanos();
        while (!entries.isEmpty() && entries.peek().at.atNanos() <= until) {
            Entry e = entries.poll();
            time.advanceTo(e.at.atNanos());
            e.task.run();
        }
        time.advanceTo(until);
    }
}
