package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RetryAfterTest {
    private static final long MILLIS = 1_000_000;
    private static final double MIDDLE = 0.5;

    /** Guards against callers with much time left coming back while the queue that refused them is still full. */
    @Test
    void callersWithMuchTimeLeftComeBackLater() {
        assertEquals(0.4, RetryAfter.untilSlot(20 * MILLIS, 4_000 * MILLIS, MIDDLE), 0.001);
        assertEquals(0.09, RetryAfter.untilSlot(20 * MILLIS, 900 * MILLIS, MIDDLE), 0.001);
        assertEquals(0.3, RetryAfter.untilSlot(300 * MILLIS, 900 * MILLIS, MIDDLE), 0.001);
    }

    /** Guards against a time that a caller cannot use: none at all, or one past all patience. */
    @Property(tries = 200)
    void timeStaysWithinItsBounds(
            @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long waitNanos,
            @ForAll @LongRange(min = -1_000_000_000L, max = 60_000_000_000L) long remainingNanos,
            @ForAll @DoubleRange(min = 0, max = 1) double random) {
        double seconds = RetryAfter.untilSlot(waitNanos, remainingNanos, random);
        assertTrue(seconds >= 0.05 && seconds <= 1, seconds + " s");
    }
}
