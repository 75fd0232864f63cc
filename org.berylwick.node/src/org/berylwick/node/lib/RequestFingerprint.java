package org.berylwick.node.lib;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Locale;

/**
 * Identifies a request by its content. All attempts of a request have the same fingerprint, and so has the same request
 * that a caller repeats with another id and deadline, at any node.
 *
 * @param uriHash hash code of path and query, by which most other requests are told apart without a digest
 * @param digest the first 64 bits of the SHA-256 digest over method, host, path with query, and body
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
        MessageDigest sha = sha256();
        update(sha, method);
        update(sha, host.toLowerCase(Locale.ROOT));
        update(sha, uri);
        for (ByteBuffer part : body.nioBuffers()) {
            sha.update(part);
        }
        return new RequestFingerprint(
                uri.hashCode(), ByteBuffer.wrap(sha.digest()).getLong());
    }

    private static void update(MessageDigest sha, String field) {
        sha.update(field.getBytes(StandardCharsets.UTF_8));
        sha.update(SEPARATOR);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the digest as 16 hexadecimal digits. */
    @Override
    public String toString() {
        return String.format("%016x", digest);
    }
}
