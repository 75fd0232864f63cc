package org.berylwick.internal.idempotency;

import java.util.Optional;
import org.berylwick.errors.ClaimError;

/** What became of the attempt to claim a key. */
public sealed interface ClaimOutcome {
    /** The store holds this claim: the caller of the claim, and nobody else, may run the request. */
    record Granted(KeyClaim claim) implements ClaimOutcome {}

    /** Another request holds the key; the request must not run. */
    record Taken(KeyRecord existing) implements ClaimOutcome {}

    /**
     * The claim was not obtained; the request must not run.
     *
     * @param error why
     * @param claimToRelease the claim, if the store may hold it all the same; it must be released, or the key stays
     *     taken by a request that never ran
     */
    record Refused(ClaimError error, Optional<KeyClaim> claimToRelease) implements ClaimOutcome {}
}
