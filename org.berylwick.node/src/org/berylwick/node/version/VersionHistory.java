package org.berylwick.node.version;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.MeshVersion;

/** The last versions that were in force here, so that other nodes can be sent what changed; on the event loop. */
final class VersionHistory {
    private static final int MAX_VERSIONS = 6;
    /** Bytes of versions that are kept; six with 3,000 routes each are 2.6 MB. */
    private static final long MAX_BYTES = 3 << 20;

    private static final byte[] EMPTY = new byte[0];

    private final LinkedHashMap<Long, byte[]> encodedByNumber = new LinkedHashMap<>();
    private final Map<Long, byte[]> deltasByBase = new HashMap<>();
    private long newestNumber;

    void add(MeshVersion version) {
        newestNumber = version.number();
        encodedByNumber.put(newestNumber, version.source());
        deltasByBase.clear();
        long totalBytes =
                encodedByNumber.values().stream().mapToLong(s -> s.length).sum();
        while (encodedByNumber.size() > 1 && (encodedByNumber.size() > MAX_VERSIONS || totalBytes > MAX_BYTES)) {
            Map.Entry<Long, byte[]> oldest =
                    encodedByNumber.entrySet().iterator().next();
            totalBytes -= oldest.getValue().length;
            encodedByNumber.remove(oldest.getKey());
        }
    }

    /**
     * What a node needs that has a version: the number of the version it is written against, 0 for none, and the delta.
     * Empty if there is nothing newer.
     */
    Optional<VersionDelta> deltaFrom(long baseNumber) {
        if (encodedByNumber.isEmpty() || baseNumber >= newestNumber) {
            return Optional.empty();
        }
        long usableBase = encodedByNumber.containsKey(baseNumber) ? baseNumber : 0;
        byte[] delta = deltasByBase.computeIfAbsent(
                usableBase,
                f -> VersionDeltaCodec.encode(
                        encodedByNumber.getOrDefault(f, EMPTY), encodedByNumber.get(newestNumber)));
        return Optional.of(new VersionDelta(usableBase, delta));
    }

    /**
     * A delta on its way.
     *
     * @param baseNumber number of the version it is written against, 0 for none
     * @param payload as {@link VersionDeltaCodec} reads it
     */
    record VersionDelta(long baseNumber, byte[] payload) {
        /** The form between nodes: the base as 8 bytes, then the delta. */
        byte[] encode() {
            return ByteBuffer.allocate(Long.BYTES + payload.length)
                    .putLong(baseNumber)
                    .put(payload)
                    .array();
        }

        /** Reads the form between nodes; empty if it is too short. */
        static Optional<VersionDelta> decode(byte[] bytes) {
            if (bytes.length < Long.BYTES) {
                return Optional.empty();
            }
            long baseNumber = ByteBuffer.wrap(bytes).getLong();
            return Optional.of(new VersionDelta(baseNumber, Arrays.copyOfRange(bytes, Long.BYTES, bytes.length)));
        }
    }

    /** The whole version that a delivery leads to; empty if it is written against one that is not kept here. */
    Optional<byte[]> apply(VersionDelta delta) {
        byte[] base = delta.baseNumber() == 0 ? EMPTY : encodedByNumber.get(delta.baseNumber());
        return base == null ? Optional.empty() : VersionDeltaCodec.decode(base, delta.payload());
    }
}
