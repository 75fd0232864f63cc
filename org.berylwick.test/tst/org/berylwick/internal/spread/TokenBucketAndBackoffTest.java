package org.berylwick.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.berylwick.testing.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Tests the rate limit of {@link TokenBucket} and the delays of {@link Backoff}. */
class TokenBucketAndBackoffTest {
    @Property(seed = "5")
    void bucketNeverExceedsRateAndBurst(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 300) Integer> pausesMillis) {
        ManualTimeSource time = new ManualTimeSource();
        TokenBucket bucket = new TokenBucket(time, 10, 5);
        long taken = 0;
        long elapsedMillis = 0;
        for (int pause : pausesMillis) {
            time.advance(Duration.ofMillis(pause));
            elapsedMillis += pause;
            taken += bucket.tryTake() ? 1 : 0;
            assertTrue(taken <= 5 + elapsedMillis / 100.0 + 1e-6, taken + " tokens taken in " + elapsedMillis + " ms");
        }
    }

    // The store calls for each daemon's first version were charged to the bucket that also limits lease renewals. No
    // reader could renew its lease for minutes, so no daemon read the store and no change was installed anywhere.
    @Test
    void chargedTokensAreRefilledAtConfiguredRate() {
        ManualTimeSource time = new ManualTimeSource();
        TokenBucket bucket = new TokenBucket(time, 10, 5);
        bucket.charge(15);
        assertFalse(bucket.tryTake());
        assertEquals(1_100, bucket.millisUntilAvailable());
        time.advance(Duration.ofMillis(1_100));
        assertTrue(bucket.tryTake());
    }

    @Property(seed = "5")
    void backoffDelayStaysWithinDoublingBound(@ForAll @IntRange(min = 1, max = 40) int failures) {
        Backoff backoff = new Backoff(new Random(failures), 200, 5_000);
        long bound = 200;
        for (int i = 0; i < failures; i++) {
            long delay = backoff.nextDelayMillis();
            assertTrue(delay >= 0 && delay <= bound, delay + " ms delay after " + i + " failures");
            bound = Math.min(5_000, bound * 2);
        }
    }
}
