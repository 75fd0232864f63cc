package org.berylwick.internal.spread;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.InstalledVersion.InForce;
import org.berylwick.internal.version.Manifest;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.VersionId;
import org.berylwick.proto.VersionDelta;

/**
 * Reconstructs a version from a delta sent by a peer and the locally installed version.
 *
 * <p>Only the version id is taken from the peer on trust. The manifest must match the digest in that id, and each part
 * must match its digest in the manifest.
 */
public final class VersionDeltaDecoder {
    private static final int MAX_UNCOMPRESSED_BYTES = 64 << 20;

    private VersionDeltaDecoder() {}

    /**
     * Decodes the output of {@link VersionDeltaEncoder#encode}.
     *
     * @param gzip gzip stream of one {@link VersionDelta}
     * @param inForce locally installed version, which was requested as the base of the delta
     * @return the complete version, or a message that says what is missing or invalid
     */
    public static Result<VersionContent, String> decode(byte[] gzip, InForce inForce) {
        VersionDelta delta;
        VersionId id;
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(gzip))) {
            byte[] uncompressed = in.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
            if (uncompressed.length > MAX_UNCOMPRESSED_BYTES) {
                return Result.err("version from a peer exceeds " + MAX_UNCOMPRESSED_BYTES + " bytes uncompressed");
            }
            delta = VersionDelta.parseFrom(uncompressed);
            id = new VersionId(
                    delta.getVersion().getVersion(), toDigest(delta.getVersion().getDigest()));
        } catch (IOException | IllegalArgumentException e) {
            return Result.err("cannot decode version from a peer: " + e);
        }
        Map<Digest, byte[]> available = new HashMap<>();
        if (delta.getBaseVersion() != 0) {
            available.putAll(inForce.parts());
        }
        for (ByteString part : delta.getPartsList()) {
            byte[] content = part.toByteArray();
            available.put(Digest.of(content), content);
        }
        return manifestBytes(delta, inForce).flatMap(manifest -> VersionContent.assemble(id, manifest, available));
    }

    private static Result<byte[], String> manifestBytes(VersionDelta delta, InForce inForce) {
        if (delta.getBaseVersion() == 0) {
            return Result.ok(delta.getManifest().toByteArray());
        }
        if (delta.getBaseVersion() != inForce.snapshot().id().number()) {
            return Result.err("delta is based on version " + delta.getBaseVersion() + ", which is not installed here");
        }
        return ConfigurationCodec.decode(inForce.manifestBytes(), Manifest.class)
                .flatMap(base -> ConfigurationCodec.decode(
                                delta.getManifestDelta().toByteArray(), ManifestDelta.class)
                        .map(manifestDelta -> ConfigurationCodec.encode(manifestDelta.applyTo(base))));
    }

    private static Digest toDigest(ByteString bytes) {
        return new Digest(HexFormat.of().formatHex(bytes.toByteArray()));
    }
}
