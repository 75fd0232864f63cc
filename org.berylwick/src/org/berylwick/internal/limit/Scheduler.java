package org.berylwick.internal.limit;

import org.berylwick.lib.Deadline;

/** Runs a task at a point of time; the daemon gives one on top of its event loops, tests a manual one. */
public interface Scheduler {
    /**
     * Runs {@code task} once, at {@code deadline} or soon after it, on any thread.
     *
     * <p>It must not run within this call.
     */
    void schedule(Deadline deadline, Runnable task);
}
