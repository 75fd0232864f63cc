package org.berylwick.lib;

/**
 * Names one accepted configuration version.
 *
 * <p>The number alone decides which of two versions is newer; the digest says whether the content is the one that was
 * accepted under that number.
 *
 * @param number 1 for the first version, rising by one with each accepted change; 0 for the empty configuration
 * @param digest hash of the version's manifest
 */
public record VersionId(long number, Digest digest) {
    /** The configuration before the first accepted change. */
    public static final VersionId NONE = new VersionId(0, Digest.of(new byte[0]));

    /** Tells whether this version replaces {@code other} on a daemon that holds it. */
    public boolean isNewerThan(VersionId other) {
        return number > other.number;
    }

    @Override
    public String toString() {
        return number + "@" + digest.abbreviated();
    }
}
