package org.berylwick.internal.limit;

import org.berylwick.lib.Deadline;

/** Runs tasks at given times; the daemon implements it with its event loops, tests with a manual clock. */
public interface Scheduler {
    /**
     * Runs {@code task} once, at {@code deadline} or shortly after, on any thread.
     *
     * <p>Implementations must not run the task within this call.
     */
    void schedule(Deadline deadline, Runnable task);
}
