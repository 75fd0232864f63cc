package org.berylwick.internal.idempotency;

import com.codahale.metrics.Timer;
import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Deadline;

/** What a thread of the {@link KeyDuty} has to do. */
sealed interface KeyJob {
    /**
     * A key to claim.
     *
     * @param deadline after which the request is refused without a call of the store
     * @param timerContext stopped when the outcome is known
     */
    record Claim(
            KeyRequest request, Deadline deadline, Timer.Context timerContext, CompletableFuture<ClaimOutcome> outcome)
            implements KeyJob {}

    /**
     * A claim to settle.
     *
     * @param retryDeadline after which a failed attempt is the last
     */
    record Settle(KeyClaim claim, Settlement settlement, Deadline retryDeadline) implements KeyJob {}
}
