package org.berylwick.node.call;

import java.util.Optional;
import org.berylwick.node.lib.Clock;

/** Runs an action at the earliest of the times it was asked for; confined to the event loop. */
final class DispatchTimer {
    private final Clock clock;
    private final Runnable action;
    private Optional<Clock.Timer> timer = Optional.empty();
    private long runsAt;

    DispatchTimer(Clock clock, Runnable action) {
        this.clock = clock;
        this.action = action;
    }

    /** Runs the action at a time, unless it will be run earlier. */
    void runBy(long time) {
        if (timer.isPresent() && runsAt <= time) {
            return;
        }
        timer.ifPresent(Clock.Timer::cancel);
        runsAt = time;
        timer = Optional.of(clock.schedule(time, () -> {
            timer = Optional.empty();
            action.run();
        }));
    }
}
