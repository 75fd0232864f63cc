package org.berylwick.internal.idempotency;

/**
 * The record of one key.
 *
 * @param key hash of the {@link KeyId}, in hexadecimal
 * @param fingerprint of the request that claimed the key, in hexadecimal
 * @param claimId unique to the claim, so that a claimant knows its own record again
 * @param claimant instance name of the daemon that claimed the key, for people
 * @param claimedAtMillis wall clock of the claimant
 * @param run what is known of the run
 */
public record KeyRecord(
        String key, String fingerprint, String claimId, String claimant, long claimedAtMillis, KeyState run) {
    /** The same claim with another state. */
    public KeyRecord withState(KeyState newState) {
        return new KeyRecord(key, fingerprint, claimId, claimant, claimedAtMillis, newState);
    }
}
