package org.berylwick.daemon.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.berylwick.lib.TimeSource;
import org.junit.jupiter.api.Test;

final class WarmUpTest {
    // A fresh daemon whose warm-up calls fail says that it is ready all the same, and its first callers pay for
    // the class loading that the calls should have done. Each of them must go the whole way: through entry and
    // owner to the echo server and back, or be refused for want of a route where that is what was asked for.
    @Test
    void everyCallOfTheWarmUpIsAnswered() {
        WarmUp.Report report = new WarmUp(TimeSource.SYSTEM, 5).run();
        assertTrue(report.rounds() > 0);
        assertEquals(0, report.failed());
    }
}
