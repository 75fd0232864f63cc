package org.berylwick.internal.idempotency;

import java.nio.charset.StandardCharsets;
import org.berylwick.lib.Digest;
import org.berylwick.transport.ObjectKey;

/**
 * Names one {@code Idempotency-Key} of one brand and route.
 *
 * <p>The slot object that holds its record follows from the hash alone, so that every daemon looks in the same place
 * whatever members it knows.
 *
 * @param hash of brand, route and the header's value
 */
public record KeyId(Digest hash) {
    /** Prefix of all slot objects in the store. */
    public static final String PREFIX = "keys/";

    /** Hexadecimal digits of the hash that name the slot: 16^5 slots, some 1.05 million. */
    private static final int SLOT_DIGITS = 5;

    /** Names {@code key} in the scope of a brand and a route; none of the three holds a line feed. */
    public static KeyId of(String brand, String route, String key) {
        String scopedKey = brand + '\n' + route + '\n' + key;
        return new KeyId(Digest.of(scopedKey.getBytes(StandardCharsets.UTF_8)));
    }

    /** The object that holds this key's record, if there is one. */
    public ObjectKey slotObjectKey() {
        return new ObjectKey(PREFIX + hash.hex().substring(0, SLOT_DIGITS));
    }
}
