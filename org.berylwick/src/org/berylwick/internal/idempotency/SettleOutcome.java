package org.berylwick.internal.idempotency;

import org.berylwick.errors.ClaimError;

/** What became of settling a claim. */
public sealed interface SettleOutcome {
    /** The store shows the settlement. */
    record Settled() implements SettleOutcome {}

    /** The store no longer holds the claim, though its claimant never released it. */
    record ClaimLost() implements SettleOutcome {}

    /** The store may or may not show the settlement; settling again does no harm. */
    record RetryNeeded(ClaimError error) implements SettleOutcome {}
}
