package org.berylwick.internal.kernel;

import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.Test;

class DutyTest {
    /** Guards against input that is nested too deeply for the stack ending the thread of a duty for good. */
    @Test
    void dutyGoesOnAfterAStackOverflow() {
        AtomicInteger rounds = new AtomicInteger();
        Duty duty = new Duty("test", () -> {
            if (rounds.incrementAndGet() == 1) {
                recurse(1);
            }
            Thread.sleep(10);
        });
        try {
            Await.until("a second round", () -> rounds.get() > 1, rounds::get);
        } finally {
            duty.close();
        }
    }

    private static int recurse(int depth) {
        return recurse(depth + 1) + depth;
    }
}
