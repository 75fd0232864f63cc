package org.berylwick.node.lib;

/**
 * Source of time and timers. A node uses the timers of its event loop; tests and benchmarks use a virtual clock that is
 * advanced explicitly, so that an hour of load is simulated in seconds.
 */
public interface Clock {
    /** Returns the current time in nanoseconds from an arbitrary origin; on a node, that of {@link System#nanoTime}. */
    long now();

    /**
     * Schedules a task.
     *
     * @param timeNanos time to run the task, on the scale of {@link #now}; if it has passed, the task runs as soon as
     *     possible
     * @param task task to run, on the same thread as all other tasks of this clock
     */
    Timer schedule(long timeNanos, Runnable task);

    /** Runs a task after the current one has returned. */
    void defer(Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; does nothing if it has already run. */
        void cancel();
    }
}
