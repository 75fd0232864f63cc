package org.berylwick.internal.idempotency;

/**
 * The stored record of one claimed key.
 *
 * @param key the hash of the {@link KeyId}, in hexadecimal
 * @param fingerprint the fingerprint of the request that claimed the key, in hexadecimal
 * @param claimId the unique ID of the claim, by which a claimant recognizes its own record
 * @param claimant the instance name of the daemon that claimed the key; informational only
 * @param claimedAtMillis the time of the claim by the claimant's wall clock, in milliseconds since the epoch
 * @param run the state of the request that claimed the key
 */
public record KeyRecord(
        String key, String fingerprint, String claimId, String claimant, long claimedAtMillis, KeyState run) {
    /** Returns a record of the same claim with another state. */
    public KeyRecord withState(KeyState newState) {
        return new KeyRecord(key, fingerprint, claimId, claimant, claimedAtMillis, newState);
    }
}
