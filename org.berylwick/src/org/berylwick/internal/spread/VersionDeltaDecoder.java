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
 * Puts a version together from what a peer sent and what is in force here.
 *
 * <p>Nothing of the peer is trusted but the name of the version: the manifest must have the digest of that name, and
 * each part the digest that the manifest gives.
 */
public final class VersionDeltaDecoder {
    private static final int MAX_UNCOMPRESSED_BYTES = 64 << 20;

    private VersionDeltaDecoder() {}

    /**
     * Decodes what {@link VersionDeltaEncoder#encode} wrote.
     *
     * @param inForce the version that the asker named as its base
     * @return the whole version, or what is missing or wrong
     */
    public static Result<VersionContent, String> decode(byte[] gzip, InForce inForce) {
        VersionDelta delta;
        VersionId id;
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(gzip))) {
            byte[] uncompressed = in.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
            if (uncompressed.length > MAX_UNCOMPRESSED_BYTES) {
                return Result.err("a version of more than " + MAX_UNCOMPRESSED_BYTES + " bytes");
            }
            delta = VersionDelta.parseFrom(uncompressed);
            id = new VersionId(
                    delta.getVersion().getVersion(), toDigest(delta.getVersion().getDigest()));
        } catch (IOException | IllegalArgumentException e) {
            return Result.err("cannot read a version from a peer: " + e);
        }
        Map<Digest, byte[]> available = new HashMap<>();
        if (delta.getBaseVersion() != 0) {
            available.putAll(inForce.parts());
        }
        for (ByteString part : delta.getPartsList()) {
            byte[] content = part.toByteArray();
            available.put(Digest.of(content), content);
        }
        return manifestBytes(delta, inForce).flatMap(m -> VersionContent.assemble(id, m, available));
    }

    private static Result<byte[], String> manifestBytes(VersionDelta delta, InForce inForce) {
        if (delta.getBaseVersion() == 0) {
            return Result.ok(delta.getManifest().toByteArray());
        }
        if (delta.getBaseVersion() != inForce.snapshot().id().number()) {
            return Result.err("a delta against version " + delta.getBaseVersion() + ", which is not in force here");
        }
        return ConfigurationCodec.decode(inForce.manifestBytes(), Manifest.class)
                .flatMap(base -> ConfigurationCodec.decode(
                                delta.getManifestDelta().toByteArray(), ManifestDelta.class)
                        .map(d -> ConfigurationCodec.encode(d.applyTo(base))));
    }

    private static Digest toDigest(ByteString bytes) {
        return new Digest(HexFormat.of().formatHex(bytes.toByteArray()));
    }
}
