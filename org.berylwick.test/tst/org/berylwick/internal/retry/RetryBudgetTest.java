package org.berylwick.internal.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.berylwick.testing.ManualTimeSource;

/** Tests the limit on the number of retries in an outage. */
class RetryBudgetTest {
    private static final double RETRY_RATIO = 0.2;
    private static final int MIN_RETRIES = 10;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long BUCKET_MILLIS = WINDOW_MILLIS / 10;

    @Property(seed = "4711", tries = 300)
    void retriesInAnyWindowStayWithinRatioOfRequests(
            @ForAll @Size(min = 1, max = 400) List<@IntRange(max = 500) Integer> gapsMillis) {
        ManualTimeSource time = new ManualTimeSource();
        RetryBudget budget = new RetryBudget(time, RETRY_RATIO, MIN_RETRIES, WINDOW_MILLIS);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        for (int gapMillis : gapsMillis) {
            time.advance(Duration.ofMillis(gapMillis));
            long nowMillis = time.nanoTime() / 1_000_000;
            budget.countRequest();
            requests.add(nowMillis);
            // In an outage every request uses as many retries as the budget allows.
            while (budget.tryAcquireRetry()) {
                retries.add(nowMillis);
            }
            // A retry granted at the start of this window was charged against the requests of the window before it.
            removeUpTo(requests, nowMillis - 2 * WINDOW_MILLIS);
            removeUpTo(retries, nowMillis - WINDOW_MILLIS + BUCKET_MILLIS);
            assertTrue(
                    retries.size() <= MIN_RETRIES + RETRY_RATIO * requests.size(),
                    retries.size() + " retries for " + requests.size() + " requests");
        }
    }

    @Property(seed = "4712", tries = 100)
    void exhaustedBudgetIsRestoredAfterOneWindow(@ForAll @IntRange(min = 1, max = 1_000) int requests) {
        ManualTimeSource time = new ManualTimeSource();
        RetryBudget budget = new RetryBudget(time, RETRY_RATIO, MIN_RETRIES, WINDOW_MILLIS);
        for (int i = 0; i < requests; i++) {
            budget.countRequest();
        }
        while (budget.tryAcquireRetry()) {
            // Exhausts the budget.
        }
        time.advance(Duration.ofMillis(WINDOW_MILLIS + BUCKET_MILLIS));
        int granted = 0;
        while (budget.tryAcquireRetry()) {
            granted++;
        }
        assertTrue(granted == MIN_RETRIES, "granted " + granted);
    }

    private static void removeUpTo(Deque<Long> times, long bound) {
        while (!times.isEmpty() && times.peek() <= bound) {
            times.remove();
        }
    }
}
