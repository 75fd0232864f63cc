package org.berylwick.internal.kernel;

import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;

/**
 * One thread that does one duty over and over until closed.
 *
 * <p>An exception out of a round is logged and the duty goes on after a pause: a control duty that dies silently would
 * leave its daemon serving on old knowledge for good.
 */
public final class Duty implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(Duty.class);
    private static final long PAUSE_AFTER_FAILURE_MILLIS = 500;
    private static final long JOIN_MILLIS = 2_000;

    private final Thread thread;
    private volatile boolean running = true;

    /** One round of a duty; should return at least every second or so. */
    @FunctionalInterface
    public interface Round {
        /** Does what is due. */
        void run() throws InterruptedException;
    }

    /** Starts the thread. */
    public Duty(String name, Round round) {
        thread = Thread.ofPlatform().name(name).daemon(true).start(() -> loop(round));
    }

    private void loop(Round round) {
        while (running) {
            try {
                round.run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | StackOverflowError e) {
                EVENTS.log(ProcessEvent.DUTY_FAILED, thread.getName(), e);
                pause();
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_AFTER_FAILURE_MILLIS);
        } catch (InterruptedException e) {
            running = false;
        }
    }

    @Override
    public void close() {
        running = false;
        thread.interrupt();
        try {
            thread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
