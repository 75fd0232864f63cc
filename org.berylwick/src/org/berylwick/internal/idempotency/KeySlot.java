package org.berylwick.internal.idempotency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Result;

/**
 * The records of all keys that share one object of the store.
 *
 * <p>Expired records leave with the next claim in the same slot, which writes the object anyway, so that expiry costs
 * no calls of its own. Immutable.
 *
 * @param records in the order of their claims
 */
public record KeySlot(List<KeyRecord> records) {
    /** How long a key is remembered, from its claim on. */
    public static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    /** A slot without records. */
    public static final KeySlot EMPTY = new KeySlot(List.of());

    /** Copies the list. */
    public KeySlot {
        records = List.copyOf(records);
    }

    /** The record of a key, unless it has expired. */
    public Optional<KeyRecord> find(KeyId key, long nowMillis) {
        return records.stream()
                .filter(record -> record.key().equals(key.hash().hex()) && !isExpired(record, nowMillis))
                .findFirst();
    }

    /** The record that one claim wrote, expired or not. */
    public Optional<KeyRecord> findClaim(String claimId) {
        return records.stream()
                .filter(record -> record.claimId().equals(claimId))
                .findFirst();
    }

    /** This slot with one record more and without the expired ones. */
    public KeySlot withRecord(KeyRecord added, long nowMillis) {
        List<KeyRecord> kept = new ArrayList<>();
        for (KeyRecord record : records) {
            if (!isExpired(record, nowMillis)) {
                kept.add(record);
            }
        }
        kept.add(added);
        return new KeySlot(kept);
    }

    /** This slot without one claim's record. */
    public KeySlot withoutClaim(String claimId) {
        return new KeySlot(records.stream()
                .filter(record -> !record.claimId().equals(claimId))
                .toList());
    }

    /** This slot with another state in one claim's record. */
    public KeySlot withState(String claimId, KeyState newState) {
        return new KeySlot(records.stream()
                .map(record -> record.claimId().equals(claimId) ? record.withState(newState) : record)
                .toList());
    }

    private static boolean isExpired(KeyRecord record, long nowMillis) {
        return nowMillis - record.claimedAtMillis() > RETENTION_MILLIS;
    }

    /**
     * Encodes the slot, giving up kept answers, oldest first, until it fits; that a request ran is never given up.
     *
     * @return empty if it does not fit even so
     */
    public Optional<byte[]> encode(int maxBytes) {
        KeySlot slot = this;
        byte[] bytes = ConfigurationCodec.encode(slot);
        while (bytes.length > maxBytes) {
            Optional<KeyRecord> oldest = slot.records.stream()
                    .filter(record -> record.run() instanceof KeyState.Answered)
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

    /** Decodes what {@link #encode} wrote; the error says what is wrong. */
    public static Result<KeySlot, String> decode(byte[] content) {
        return ConfigurationCodec.decode(content, KeySlot.class);
    }
}
