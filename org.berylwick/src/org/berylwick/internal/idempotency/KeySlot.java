package org.berylwick.internal.idempotency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Result;

/**
 * The records of all keys that share one object in the store. Immutable.
 *
 * <p>Expired records are removed by the next claim in the same slot. As a claim writes the object anyway, expiry takes
 * no additional store calls.
 *
 * @param records the records in the order in which the keys were claimed
 */
public record KeySlot(List<KeyRecord> records) {
    /** How long the record of a key is retained after the claim. */
    public static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    /** A slot without records, equivalent to an object that does not exist yet. */
    public static final KeySlot EMPTY = new KeySlot(List.of());

    /** Makes a defensive copy of the list. */
    public KeySlot {
        records = List.copyOf(records);
    }

    /** Returns the record of a key; empty if there is none or it has expired. */
    public Optional<KeyRecord> find(KeyId key, long nowMillis) {
        return records.stream()
                .filter(keyRecord -> keyRecord.key().equals(key.hash().hex()) && !isExpired(keyRecord, nowMillis))
                .findFirst();
    }

    /** Returns the record of a claim, even if it has expired. */
    public Optional<KeyRecord> findClaim(String claimId) {
        return records.stream()
                .filter(keyRecord -> keyRecord.claimId().equals(claimId))
                .findFirst();
    }

    /** Returns a copy of this slot with {@code added} and without expired records. */
    public KeySlot withRecord(KeyRecord added, long nowMillis) {
        List<KeyRecord> kept = new ArrayList<>();
        for (KeyRecord keyRecord : records) {
            if (!isExpired(keyRecord, nowMillis)) {
                kept.add(keyRecord);
            }
        }
        kept.add(added);
        return new KeySlot(kept);
    }

    /** Returns a copy of this slot without the record of a claim. */
    public KeySlot withoutClaim(String claimId) {
        return new KeySlot(records.stream()
                .filter(keyRecord -> !keyRecord.claimId().equals(claimId))
                .toList());
    }

    /** Returns a copy of this slot with another state in the record of a claim. */
    public KeySlot withState(String claimId, KeyState newState) {
        return new KeySlot(records.stream()
                .map(keyRecord -> keyRecord.claimId().equals(claimId) ? keyRecord.withState(newState) : keyRecord)
                .toList());
    }

    private static boolean isExpired(KeyRecord keyRecord, long nowMillis) {
        return nowMillis - keyRecord.claimedAtMillis() > RETENTION_MILLIS;
    }

    /**
     * Encodes the slot. If it exceeds {@code maxBytes}, stored responses are dropped, oldest first, until it fits; the
     * information that their requests ran is always kept.
     *
     * @return the encoded slot; empty if it exceeds {@code maxBytes} even without stored responses
     */
    public Optional<byte[]> encode(int maxBytes) {
        KeySlot slot = this;
        byte[] bytes = ConfigurationCodec.encode(slot);
        while (bytes.length > maxBytes) {
            Optional<KeyRecord> oldest = slot.records.stream()
                    .filter(keyRecord -> keyRecord.run() instanceof KeyState.Answered)
                    .min(Comparator.comparingLong(KeyRecord::claimedAtMillis));
            if (oldest.isEmpty()) {
                return Optional.empty();
            }
            KeyState.Answered answered = (KeyState.Answered) oldest.get().run();
            slot = slot.withState(
                    oldest.get().claimId(), new KeyState.Ran(answered.answer().status()));
            bytes = ConfigurationCodec.encode(slot);
        }
        return Optional.of(bytes);
    }

    /** Decodes a slot encoded by {@link #encode}; the error describes why the content is invalid. */
    public static Result<KeySlot, String> decode(byte[] content) {
        return ConfigurationCodec.decode(content, KeySlot.class);
    }
}
