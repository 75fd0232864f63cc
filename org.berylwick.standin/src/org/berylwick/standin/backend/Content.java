package org.berylwick.standin.backend;

/**
 * Large bodies whose every byte follows from a path and an offset, so that a receiver can check all of them without
 * keeping any.
 */
public final class Content {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long seed;

    /** The content at {@code path}, which excludes the query. */
    public Content(String path) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < path.length(); i++) {
            hash = (hash ^ path.charAt(i)) * FNV_PRIME;
        }
        seed = hash;
    }

    /** Writes the bytes from {@code offset} on into the whole of {@code target}. */
    public void fill(byte[] target, long offset) {
        for (int i = 0; i < target.length; i++) {
            target[i] = at(offset + i);
        }
    }

    /** @return the first offset at which {@code bytes}, received from {@code offset} on, are wrong, or -1 */
    public long firstWrong(byte[] bytes, long offset) {
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != at(offset + i)) {
                return offset + i;
            }
        }
        return -1;
    }

    /** The byte at {@code offset}. */
    public byte at(long offset) {
        return (byte) (mix(seed + (offset >>> 3) * GOLDEN_GAMMA) >>> ((offset & 7) << 3));
    }

    private static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
        return b ^ (b >>> 31);
    }

    /** A strong validator of {@code length} bytes of this content. */
    public String etag(long length) {
        return "\"" + Long.toHexString(seed) + "-" + length + "\"";
    }
}
