package org.berylwick.node;

import java.util.Optional;

/**
 * The signal HUP, which asks the process to read its settings again. Thread-safe.
 *
 * <p>It is to be handled from the first line of the program on; before that, the launcher of the process ignores it.
 * One that arrives before the node has started is kept for it.
 */
public final class ReloadSignal {
    private Optional<Runnable> reload = Optional.empty();
    private boolean pending;

    private ReloadSignal() {}

    /** Starts to handle the signal. */
    public static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        Signals.handle("HUP", signal::onSignal);
        return signal;
    }

    private synchronized void onSignal() {
        pending = reload.isEmpty();
        reload.ifPresent(Runnable::run);
    }

    /** Passes on the signal from now on, and one that arrived before. */
    synchronized void forwardTo(Runnable newReload) {
        reload = Optional.of(newReload);
        if (pending) {
            pending = false;
            newReload.run();
        }
    }
}
