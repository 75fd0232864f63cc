package org.berylwick.internal.idempotency;

import java.util.Optional;

/**
 * A claim of a key by one request. It must be settled once the outcome of the request is known.
 *
 * @param key the claimed key
 * @param claimId identifies the claim in the store
 * @param slotAfterClaim the slot as written by the update that made the claim, if known and small enough to be cached
 *     in memory; saves a read when the claim is settled
 * @param writeInDoubt whether an update that contains the claim may still take effect in the store, because its outcome
 *     was not known when the claimant stopped waiting for it
 */
public record KeyClaim(KeyId key, String claimId, Optional<VersionedSlot> slotAfterClaim, boolean writeInDoubt) {
    /**
     * A slot with the version of its object in the store.
     *
     * @param version the version of the object, 0 if the object does not exist
     * @param slot the content of the object
     */
    public record VersionedSlot(long version, KeySlot slot) {}
}
