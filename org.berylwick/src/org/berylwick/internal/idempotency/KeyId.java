package org.berylwick.internal.idempotency;

import java.nio.charset.StandardCharsets;
import org.berylwick.lib.Digest;
import org.berylwick.transport.ObjectKey;

/**
 * Identifies the value of an {@code Idempotency-Key} header in the scope of a brand and a route.
 *
 * <p>The slot object that holds the key's record is determined by the hash alone, so that all daemons use the same
 * object, whichever members they know.
 *
 * @param hash the hash of the brand, the route and the value of the header
 */
public record KeyId(Digest hash) {
    /** Prefix of the keys of all slot objects in the store. */
    public static final String PREFIX = "keys/";

    /** Number of hexadecimal digits of the hash that identify the slot: 16^5, about 1.05 million, slots. */
    private static final int SLOT_DIGITS = 5;

    /**
     * Identifies {@code key} in the scope of a brand and a route. None of the three may contain a line feed, which
     * separates them in the hashed text.
     */
    public static KeyId of(String brand, String route, String key) {
        String scopedKey = brand + '\n' + route + '\n' + key;
        return new KeyId(Digest.of(scopedKey.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the key of the store object that holds this key's record, if there is a record. */
    public ObjectKey slotObjectKey() {
        return new ObjectKey(PREFIX + hash.hex().substring(0, SLOT_DIGITS));
    }
}
