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
 * Encodes the installed version for peers that have an earlier one. Thread-safe.
 *
 * <p>The manifests of the last few versions are cached, so that a peer that is a few versions behind receives only the
 * differences; a peer further behind receives the complete version. Encoded deltas are cached until the next version is
 * installed, because several peers request the same delta.
 */
public final class VersionDeltaEncoder {
    private static final int MAX_CACHED_MANIFESTS = 8;
    private static final int DIGEST_BYTES = 32;

    private final InstalledVersion installed;
    private final Map<Long, Manifest> manifestsByVersion = new LinkedHashMap<>();
    private final Map<Long, byte[]> encodedByBase = new HashMap<>();
    private long encodedVersion;

    /** Creates an encoder that caches the manifest of each version installed from now on. */
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
     * Encodes the installed version as a gzip stream of one {@link VersionDelta}.
     *
     * @param base number of the version that the requesting peer has installed, 0 for none
     * @return the gzip stream, or empty if no version is installed
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
        ManifestDelta manifestDelta = ManifestDelta.between(baseManifest, target);
        Set<String> baseParts = new HashSet<>(baseManifest.parts().values());
        delta.setBaseVersion(base).setManifestDelta(ByteString.copyFrom(ConfigurationCodec.encode(manifestDelta)));
        manifestDelta.set().values().stream()
                .filter(hex -> !baseParts.contains(hex))
                .distinct()
                .forEach(hex ->
                        delta.addParts(ByteString.copyFrom(inForce.parts().get(new Digest(hex)))));
        return delta.build();
    }

    /** Converts a version id to its wire format. */
    public static VersionNotice toNotice(VersionId id) {
        return VersionNotice.newBuilder()
                .setVersion(id.number())
                .setDigest(ByteString.fromHex(id.digest().hex()))
                .build();
    }

    /** Parses the version id of a notice; empty if the notice names no version or its digest has the wrong length. */
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
            throw new UncheckedIOException("cannot write version delta to in-memory stream", e);
        }
        return bytes.toByteArray();
    }
}
