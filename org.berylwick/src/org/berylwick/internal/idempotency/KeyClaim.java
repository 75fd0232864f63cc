package org.berylwick.internal.idempotency;

import java.util.Optional;

/**
 * One attempt to become the claimant of a key; to be settled once the outcome of the request is known.
 *
 * @param key what is claimed
 * @param claimId names the attempt in the store
 * @param slotAfterClaim the slot as the granting write left it, if it is known and small enough to be kept in memory;
 *     saves a read when settling
 * @param writeInDoubt whether a write of the claim may still take effect after its answer was given up
 */
public record KeyClaim(KeyId key, String claimId, Optional<VersionedSlot> slotAfterClaim, boolean writeInDoubt) {
    /**
     * A slot and the state of its object.
     *
     * @param version of the object, 0 if there is none
     * @param slot what it holds
     */
    public record VersionedSlot(long version, KeySlot slot) {}
}
