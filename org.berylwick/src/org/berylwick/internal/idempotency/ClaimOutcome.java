package org.berylwick.internal.idempotency;

import java.util.Optional;
import org.berylwick.errors.ClaimError;

/** The outcome of an attempt to claim a key. */
public sealed interface ClaimOutcome {
    /** The store holds this claim: the request that claimed the key may run, and no other. */
    record Granted(KeyClaim claim) implements ClaimOutcome {}

    /** Another request has already claimed the key; this request must not run. */
    record Taken(KeyRecord existing) implements ClaimOutcome {}

    /**
     * The claim failed; the request must not run.
     *
     * @param error the reason
     * @param claimToRelease the claim, if the store may hold it despite the error; it must be released, or the key
     *     remains claimed by a request that never ran
     */
    record Refused(ClaimError error, Optional<KeyClaim> claimToRelease) implements ClaimOutcome {}
}
