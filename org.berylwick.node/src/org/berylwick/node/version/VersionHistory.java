package org.berylwick.node.version;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.ConfigurationVersion;

/**
 * The latest versions that were in force on this node, kept to compute deltas for other nodes and to apply theirs.
 * Confined to the event loop.
 */
final class VersionHistory {
    private static final int MAX_VERSIONS = 6;
    /** Maximum total size of the encoded versions; six versions with 3,000 routes each take 2.6 MB. */
    private static final long MAX_BYTES = 3 << 20;

    private static final byte[] EMPTY = new byte[0];

    private final LinkedHashMap<Long, byte[]> encodedByNumber = new LinkedHashMap<>();
    /** Deltas to the newest version that were already computed, by the number of their base. */
    private final Map<Long, byte[]> deltasByBase = new HashMap<>();

    private long newestNumber;

    void add(ConfigurationVersion version) {
        newestNumber = version.number();
        encodedByNumber.put(newestNumber, version.encoded());
        deltasByBase.clear();
        long totalBytes = encodedByNumber.values().stream()
                .mapToLong(encoded -> encoded.length)
                .sum();
        while (encodedByNumber.size() > 1 && (encodedByNumber.size() > MAX_VERSIONS || totalBytes > MAX_BYTES)) {
            Map.Entry<Long, byte[]> oldest =
                    encodedByNumber.entrySet().iterator().next();
            totalBytes -= oldest.getValue().length;
            encodedByNumber.remove(oldest.getKey());
        }
    }

    /**
     * Returns a delta from the given version to the newest one. If the given version is not kept here, the delta
     * contains the complete newest version.
     *
     * @param baseNumber number of the version that the receiver has, 0 for none
     * @return empty if there is no newer version here
     */
    Optional<VersionDelta> deltaFrom(long baseNumber) {
        if (encodedByNumber.isEmpty() || baseNumber >= newestNumber) {
            return Optional.empty();
        }
        long usableBase = encodedByNumber.containsKey(baseNumber) ? baseNumber : 0;
        byte[] delta = deltasByBase.computeIfAbsent(
                usableBase,
                number -> VersionDeltaCodec.encode(
                        encodedByNumber.getOrDefault(number, EMPTY), encodedByNumber.get(newestNumber)));
        return Optional.of(new VersionDelta(usableBase, delta));
    }

    /**
     * A delta as it is sent between nodes.
     *
     * @param baseNumber number of the version from which it was computed; 0 for none, then it contains the complete
     *     version
     * @param payload the delta in the format of {@link VersionDeltaCodec}
     */
    record VersionDelta(long baseNumber, byte[] payload) {
        /** Encodes the delta for the wire: the base number in 8 bytes, then the payload. */
        byte[] encode() {
            return ByteBuffer.allocate(Long.BYTES + payload.length)
                    .putLong(baseNumber)
                    .put(payload)
                    .array();
        }

        /** Decodes a delta received from another node; empty if it is too short. */
        static Optional<VersionDelta> decode(byte[] bytes) {
            if (bytes.length < Long.BYTES) {
                return Optional.empty();
            }
            long baseNumber = ByteBuffer.wrap(bytes).getLong();
            return Optional.of(new VersionDelta(baseNumber, Arrays.copyOfRange(bytes, Long.BYTES, bytes.length)));
        }
    }

    /**
     * Applies a delta.
     *
     * @return the complete encoded version; empty if the delta is damaged, or its base is not kept here or differs
     */
    Optional<byte[]> apply(VersionDelta delta) {
        byte[] base = delta.baseNumber() == 0 ? EMPTY : encodedByNumber.get(delta.baseNumber());
        return base == null ? Optional.empty() : VersionDeltaCodec.decode(base, delta.payload());
    }
}
