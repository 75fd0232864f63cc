package org.berylwick.lib;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 content hash.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record Digest(String hex) implements Comparable<Digest> {
    private static final int HEX_LENGTH = 64;

    /** @throws IllegalArgumentException if {@code hex} is not 64 lower-case hexadecimal digits */
    public Digest {
        if (hex.length() != HEX_LENGTH
                || !hex.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) {
            throw new IllegalArgumentException("not a SHA-256 digest: " + hex);
        }
    }

    /** Hashes {@code content}. */
    public static Digest of(byte[] content) {
        try {
            return new Digest(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(content)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The first twelve digits, for people. */
    public String abbreviated() {
        return hex.substring(0, 12);
    }

    @Override
    public int compareTo(Digest other) {
        return hex.compareTo(other.hex);
    }
}
