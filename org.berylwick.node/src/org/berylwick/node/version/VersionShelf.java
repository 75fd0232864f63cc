package org.berylwick.node.version;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.ConfigurationVersion;

/** The last versions that were in force here, so that other nodes can be sent what changed; on the event loop. */
final class VersionShelf {
    private static final int MOST_VERSIONS = 6;
    /** Bytes of versions that are kept; six with 3,000 routes each are 2.6 MB. */
    private static final long MOST_BYTES = 3 << 20;

    private static final byte[] NOTHING = new byte[0];

    private final LinkedHashMap<Long, byte[]> sources = new LinkedHashMap<>();
    private final Map<Long, byte[]> deltas = new HashMap<>();
    private long newest;

    void add(ConfigurationVersion version) {
        newest = version.number();
        sources.put(newest, version.encoded());
        deltas.clear();
        long bytes = sources.values().stream().mapToLong(s -> s.length).sum();
        while (sources.size() > 1 && (sources.size() > MOST_VERSIONS || bytes > MOST_BYTES)) {
            Map.Entry<Long, byte[]> oldest = sources.entrySet().iterator().next();
            bytes -= oldest.getValue().length;
            sources.remove(oldest.getKey());
        }
    }

    /**
     * What a node needs that has a version: the number of the version it is written against, 0 for none, and the delta.
     * Empty if there is nothing newer.
     */
    Optional<Delivery> deliver(long base) {
        if (sources.isEmpty() || base >= newest) {
            return Optional.empty();
        }
        long from = sources.containsKey(base) ? base : 0;
        byte[] delta = deltas.computeIfAbsent(
                from, f -> VersionDeltaCodec.encode(sources.getOrDefault(f, NOTHING), sources.get(newest)));
        return Optional.of(new Delivery(from, delta));
    }

    /**
     * A delta on its way.
     *
     * @param base number of the version it is written against, 0 for none
     * @param delta as {@link VersionDeltaCodec} reads it
     */
    record Delivery(long base, byte[] delta) {
        /** The form between nodes: the base as 8 bytes, then the delta. */
        byte[] bytes() {
            return ByteBuffer.allocate(Long.BYTES + delta.length)
                    .putLong(base)
                    .put(delta)
                    .array();
        }

        /** Reads the form between nodes; empty if it is too short. */
        static Optional<Delivery> read(byte[] bytes) {
            if (bytes.length < Long.BYTES) {
                return Optional.empty();
            }
            long base = ByteBuffer.wrap(bytes).getLong();
            return Optional.of(new Delivery(base, Arrays.copyOfRange(bytes, Long.BYTES, bytes.length)));
        }
    }

    /** The whole version that a delivery leads to; empty if it is written against one that is not kept here. */
    Optional<byte[]> join(Delivery delivery) {
        byte[] earlier = delivery.base() == 0 ? NOTHING : sources.get(delivery.base());
        return earlier == null ? Optional.empty() : VersionDeltaCodec.decode(earlier, delivery.delta());
    }
}
