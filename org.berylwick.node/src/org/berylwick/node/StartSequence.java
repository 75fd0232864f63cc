package org.berylwick.node;

import java.util.List;

/** Runs the steps of a start, none of which is begun any more once the start has been ended. Thread-safe. */
final class StartSequence {
    private final Object stepLock = new Object();
    private volatile boolean ended;

    /** Runs the steps in order; returns false if the start was ended before the last one was complete. */
    boolean run(List<Runnable> steps) {
        for (Runnable step : steps) {
            synchronized (stepLock) {
                if (!ended) {
                    step.run();
                }
            }
        }
        return !ended;
    }

    /** Ends the start; returns when no step is running. */
    void end() {
        ended = true;
        // Set first, since a start that takes its steps in quick succession might keep the lock to itself.
        synchronized (stepLock) {
            return;
        }
    }
}
