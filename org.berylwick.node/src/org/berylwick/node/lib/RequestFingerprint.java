package org.berylwick.node.lib;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * Identifies a request by its content. All attempts of a request have the same fingerprint, and so has the same request
 * that a caller repeats with another id and deadline, at any node.
 *
 * <p>Two checksums make up the digest instead of a cryptographic hash, whose provider would take a node with a small
 * share of a processor a tenth of a second to load, just when a backend server has ended. Whoever forges a fingerprint
 * can get a request refused only by one of their own that crashes backend servers.
 *
 * @param uriHash hash code of path and query, by which most other requests are told apart without a digest
 * @param digest CRC-32 and CRC-32C over method, host, path with query, and body
 */
public record RequestFingerprint(int uriHash, long digest) {
    private static final byte SEPARATOR = 0;

    /**
     * Computes the fingerprint of a request.
     *
     * @param method HTTP method
     * @param host value of the Host header, empty if there is none
     * @param uri path and query
     * @param body complete body; its reader index does not change
     */
    public static RequestFingerprint of(String method, String host, String uri, ByteBuf body) {
        CRC32 crc32 = new CRC32();
        CRC32C crc32c = new CRC32C();
        for (Checksum checksum : new Checksum[] {crc32, crc32c}) {
            update(checksum, method);
            update(checksum, host.toLowerCase(Locale.ROOT));
            update(checksum, uri);
            for (ByteBuffer part : body.nioBuffers()) {
                checksum.update(part);
            }
        }
        return new RequestFingerprint(uri.hashCode(), crc32.getValue() << Integer.SIZE | crc32c.getValue());
    }

    private static void update(Checksum checksum, String field) {
        checksum.update(field.getBytes(StandardCharsets.UTF_8));
        checksum.update(SEPARATOR);
    }

    /** Returns the form that {@link #parse} reads. */
    public String encode() {
        return uriHash + ";" + digest;
    }

    /** Reads {@link #encode()}; empty if the text is not valid. */
    public static Optional<RequestFingerprint> parse(String text) {
        int separator = text.indexOf(';');
        if (separator < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new RequestFingerprint(
                    Integer.parseInt(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Returns the digest as 16 hexadecimal digits. */
    @Override
    public String toString() {
        return String.format("%016x", digest);
    }
}
