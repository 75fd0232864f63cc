package org.berylwick.internal.idempotency;

import org.berylwick.errors.ClaimError;

/** The outcome of an attempt to settle a claim. */
public sealed interface SettleOutcome {
    /** The settlement is recorded in the store. */
    record Settled() implements SettleOutcome {}

    /** The store no longer holds the claim, although its claimant did not release it. */
    record ClaimLost() implements SettleOutcome {}

    /** The settlement may or may not be recorded in the store. It is idempotent, so it can be retried safely. */
    record RetryNeeded(ClaimError error) implements SettleOutcome {}
}
