package org.berylwick.internal.spread;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.zip.GZIPOutputStream;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.InstalledVersion.InForce;
import org.berylwick.internal.version.Manifest;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.VersionId;
import org.berylwick.proto.VersionDelta;
import org.berylwick.proto.VersionNotice;

/**
 * Encodes the version in force for peers that hold an earlier one; any thread may ask.
 *
 * <p>The manifests of the last few versions are kept, so that a peer behind by some versions gets only what differs;
 * one that is further behind gets the whole version. What was encoded is kept until the next version, as several peers
 * ask for the same.
 */
public final class VersionDeltaEncoder {
    private static final int MAX_CACHED_MANIFESTS = 8;
    private static final int DIGEST_BYTES = 32;

    private final InstalledVersion installed;
    private final Map<Long, Manifest> manifestsByVersion = new LinkedHashMap<>();
    private final Map<Long, byte[]> encodedByBase = new HashMap<>();
    private long encodedVersion;

    /** Serves what is installed from now on. */
    public VersionDeltaEncoder(InstalledVersion installed) {
        this.installed = installed;
        installed.addListener(this::cacheManifest);
    }

    private synchronized void cacheManifest(InForce inForce) {
        decodeManifest(inForce).ifPresent(m -> manifestsByVersion.put(m.number(), m));
        while (manifestsByVersion.size() > MAX_CACHED_MANIFESTS) {
            manifestsByVersion.remove(manifestsByVersion.keySet().iterator().next());
        }
    }

    private static Optional<Manifest> decodeManifest(InForce inForce) {
        return switch (ConfigurationCodec.decode(inForce.manifestBytes(), Manifest.class)) {
            case Result.Ok<Manifest, String>(Manifest m) -> Optional.of(m);
            case Result.Err<Manifest, String> ignored -> Optional.empty();
        };
    }

    /**
     * The version in force as a gzip stream of one {@link VersionDelta}; empty if there is none.
     *
     * @param base number of the version that the asker holds, 0 for none
     */
    public synchronized Optional<byte[]> encode(long base) {
        InForce inForce = installed.inForce();
        VersionId id = inForce.snapshot().id();
        if (id.number() == 0) {
            return Optional.empty();
        }
        if (encodedVersion != id.number()) {
            encodedByBase.clear();
            encodedVersion = id.number();
        }
        return Optional.of(encodedByBase.computeIfAbsent(base, b -> gzip(buildDelta(inForce, b))));
    }

    private VersionDelta buildDelta(InForce inForce, long base) {
        VersionId id = inForce.snapshot().id();
        VersionDelta.Builder delta = VersionDelta.newBuilder().setVersion(toNotice(id));
        Manifest baseManifest = base < id.number() ? manifestsByVersion.get(base) : null;
        Manifest target = manifestsByVersion.get(id.number());
        if (baseManifest == null || target == null) {
            delta.setManifest(ByteString.copyFrom(inForce.manifestBytes()));
            inForce.parts().values().forEach(p -> delta.addParts(ByteString.copyFrom(p)));
            return delta.build();
        }
        ManifestDelta difference = ManifestDelta.between(baseManifest, target);
        Set<String> baseParts = new HashSet<>(baseManifest.parts().values());
        delta.setBaseVersion(base).setManifestDelta(ByteString.copyFrom(ConfigurationCodec.encode(difference)));
        difference.set().values().stream()
                .filter(hex -> !baseParts.contains(hex))
                .distinct()
                .forEach(hex ->
                        delta.addParts(ByteString.copyFrom(inForce.parts().get(new Digest(hex)))));
        return delta.build();
    }

    /** A version's name as it travels. */
    public static VersionNotice toNotice(VersionId id) {
        return VersionNotice.newBuilder()
                .setVersion(id.number())
                .setDigest(ByteString.fromHex(id.digest().hex()))
                .build();
    }

    /** The version that a notice names; empty if that is none, or its digest cannot be one. */
    public static Optional<VersionId> toVersionId(VersionNotice notice) {
        if (notice.getVersion() <= 0 || notice.getDigest().size() != DIGEST_BYTES) {
            return Optional.empty();
        }
        Digest digest = new Digest(HexFormat.of().formatHex(notice.getDigest().toByteArray()));
        return Optional.of(new VersionId(notice.getVersion(), digest));
    }

    private static byte[] gzip(VersionDelta delta) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            delta.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("a stream in memory cannot fail", e);
        }
        return bytes.toByteArray();
    }
}
