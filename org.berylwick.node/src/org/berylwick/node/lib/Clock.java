package org.berylwick.node.lib;

/**
 * The time and the alarms that decisions live by: on a node those of its event loop, in tests and measurements of a
 * clock that is moved by hand, so that an hour of load is played in seconds.
 */
public interface Clock {
    /** Now, in nanoseconds since some moment; on a node that of {@link System#nanoTime}. */
    long now();

    /**
     * Runs a task at a time.
     *
     * @param timeNanos in the terms of {@link #now}; a task whose time has passed runs soon
     * @param task runs where all others of this clock do
     */
    Timer schedule(long timeNanos, Runnable task);

    /** Runs a task after what runs now. */
    void defer(Runnable task);

    /** A task that waits for its time. */
    interface Timer {
        /** Lets it not run any more. */
        void cancel();
    }
}
