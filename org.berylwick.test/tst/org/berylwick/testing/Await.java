package org.berylwick.testing;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.opentest4j.AssertionFailedError;

/** Waits for conditions with a generous bound, so that a slow machine fails no test. */
public final class Await {
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long STEP_MILLIS = 20;

    private Await() {}

    /** Waits until the condition holds; fails with {@code state} if it never does. */
    public static void until(String what, BooleanSupplier condition, Supplier<Object> state) {
        long by = System.nanoTime() + BOUND_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - by > 0) {
                throw new AssertionFailedError(what + " did not come about; seen: " + state.get());
            }
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionFailedError("interrupted while waiting for " + what);
            }
        }
    }
}
