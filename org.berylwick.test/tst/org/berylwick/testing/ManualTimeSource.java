package org.berylwick.testing;

import java.time.Duration;
import org.berylwick.lib.TimeSource;

/** Clocks that stand still until a test moves them. */
public final class ManualTimeSource implements TimeSource {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long nanos;
    private long epochMillis = 1_700_000_000_000L;

    /** Moves both clocks on. */
    public synchronized void advance(Duration by) {
        nanos += by.toNanos();
        epochMillis += by.toNanos() / NANOS_PER_MILLI;
    }

    /** Moves both clocks on to a reading of {@link #nanoTime()}; a reading in the past does nothing. */
    public synchronized void advanceTo(long nanoTime) {
        if (nanoTime - nanos > 0) {
            advance(Duration.ofNanos(nanoTime - nanos));
        }
    }

    @Override
    public synchronized long nanoTime() {
        return nanos;
    }

    @Override
    public synchronized long epochMillis() {
        return epochMillis;
    }
}
