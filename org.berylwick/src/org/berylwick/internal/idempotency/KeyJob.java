package org.berylwick.internal.idempotency;

import com.codahale.metrics.Timer;
import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Deadline;

/** A job for a worker thread of {@link KeyDuty}. */
sealed interface KeyJob {
    /**
     * Claims a key.
     *
     * @param deadline the deadline of the claim; a job that starts after it is refused without a store call
     * @param timerContext measures the time until the outcome is known
     */
    record Claim(
            KeyRequest request, Deadline deadline, Timer.Context timerContext, CompletableFuture<ClaimOutcome> outcome)
            implements KeyJob {}

    /**
     * Settles a claim.
     *
     * @param retryDeadline a failed attempt that ends after this deadline is not retried
     */
    record Settle(KeyClaim claim, Settlement settlement, Deadline retryDeadline) implements KeyJob {}
}
