package org.berylwick.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The secret that operators show when they change something.
 *
 * <p>Only its hash is kept and it is never printed, so that it shows in no log and no heap dump.
 */
public final class AdminToken {
    /** Shorter ones are refused in the settings. */
    public static final int MIN_LENGTH = 16;

    private final byte[] hash;

    private AdminToken(byte[] hash) {
        this.hash = hash;
    }

    /**
     * Takes a secret.
     *
     * @throws IllegalArgumentException if it is shorter than {@link #MIN_LENGTH} or holds blanks or control characters
     */
    public static AdminToken of(String secret) {
        if (secret.length() < MIN_LENGTH || !secret.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new IllegalArgumentException(
                    "the token must be at least " + MIN_LENGTH + " printable ASCII characters without blanks");
        }
        return new AdminToken(sha256(secret));
    }

    /** Tells whether {@code secret} is this one. */
    public boolean matches(String secret) {
        // A comparison that stops at the first difference tells by its duration how much of a guess was right.
        // Hashes have one length, and isEqual looks at every byte, so the duration tells nothing.
        return MessageDigest.isEqual(hash, sha256(secret));
    }

    private static byte[] sha256(String secret) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
