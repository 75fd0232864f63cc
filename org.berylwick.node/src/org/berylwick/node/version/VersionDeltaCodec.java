package org.berylwick.node.version;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * What has to be sent to a node that has an earlier version, so that it gets the bytes of a later one.
 *
 * <p>Versions are large, their successors mostly differ in a few routes, and on a narrow link they may come faster than
 * whole ones can be sent. The form is the CRC-32 of the later version (4 bytes), then, deflated, its length and a row
 * of parts: each a number, twice its length, plus one if it is copied from the earlier version; then the offset there,
 * or the bytes. Numbers are unsigned LEB128.
 */
public final class VersionDeltaCodec {
    /** Bytes that two versions must have in common for a copy to be found; about a quarter of a route. */
    private static final int BLOCK_BYTES = 32;

    private static final int HASH_MULTIPLIER = 0x01000193;
    private static final int CHECKSUM_BYTES = 4;
    /** No version is as long; a damaged delta must not ask for more memory than that. */
    private static final int MAX_VERSION_BYTES = 16 << 20;

    private static final int BUFFER_BYTES = 8_192;

    private VersionDeltaCodec() {}

    /**
     * Writes a delta.
     *
     * @param earlier what the receiver has, empty for nothing
     * @param later what it is to get
     */
    public static byte[] encode(byte[] earlier, byte[] later) {
        ByteArrayOutputStream parts = new ByteArrayOutputStream();
        writeVarint(parts, later.length);
        int common = Math.min(earlier.length, later.length);
        int mismatch = Arrays.mismatch(earlier, 0, common, later, 0, common);
        int head = mismatch < 0 ? common : mismatch;
        int tail = 0;
        while (tail < common - head && earlier[earlier.length - 1 - tail] == later[later.length - 1 - tail]) {
            tail++;
        }
        writeCopy(parts, 0, head);
        writeChangedRange(parts, earlier, later, head, later.length - tail);
        writeCopy(parts, earlier.length - tail, tail);
        CRC32 check = new CRC32();
        check.update(later);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(
                ByteBuffer.allocate(CHECKSUM_BYTES).putInt((int) check.getValue()).array());
        deflate(parts.toByteArray(), out);
        return out.toByteArray();
    }

    /** Writes {@code later[from, to)} as copies of blocks that the earlier version has, and bytes between them. */
    private static void writeChangedRange(ByteArrayOutputStream parts, byte[] earlier, byte[] later, int from, int to) {
        if (to - from < BLOCK_BYTES || earlier.length < BLOCK_BYTES) {
            writeLiteral(parts, later, from, to);
            return;
        }
        BlockIndex index = new BlockIndex(earlier);
        int pending = from;
        int at = from;
        int hash = BlockIndex.hash(later, at);
        while (at + BLOCK_BYTES <= to) {
            int offset = index.find(hash, later, at);
            if (offset < 0) {
                if (at + BLOCK_BYTES < to) {
                    hash = BlockIndex.roll(hash, later[at], later[at + BLOCK_BYTES]);
                }
                at++;
                continue;
            }
            int length = matchLength(earlier, offset, later, at, to);
            writeLiteral(parts, later, pending, at);
            writeCopy(parts, offset, length);
            at += length;
            pending = at;
            if (at + BLOCK_BYTES <= to) {
                hash = BlockIndex.hash(later, at);
            }
        }
        writeLiteral(parts, later, pending, to);
    }

    private static int matchLength(byte[] earlier, int offset, byte[] later, int at, int to) {
        int most = Math.min(earlier.length - offset, to - at);
        int mismatch = Arrays.mismatch(earlier, offset, offset + most, later, at, at + most);
        return mismatch < 0 ? most : mismatch;
    }

    private static void writeCopy(ByteArrayOutputStream parts, int offset, int length) {
        if (length > 0) {
            writeVarint(parts, length * 2L + 1);
            writeVarint(parts, offset);
        }
    }

    private static void writeLiteral(ByteArrayOutputStream parts, byte[] later, int from, int to) {
        if (to > from) {
            writeVarint(parts, (to - from) * 2L);
            parts.write(later, from, to - from);
        }
    }

    private static void writeVarint(ByteArrayOutputStream out, long number) {
        long rest = number;
        while (rest >= 0x80) {
            out.write((int) (rest & 0x7f) | 0x80);
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    private static void deflate(byte[] bytes, ByteArrayOutputStream out) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
        } finally {
            deflater.end();
        }
    }

    /**
     * Reads a delta.
     *
     * @param earlier what it was written against
     * @param delta its bytes
     * @return the later version's bytes; empty if the delta is damaged or was written against another version
     */
    public static Optional<byte[]> decode(byte[] earlier, byte[] delta) {
        if (delta.length < CHECKSUM_BYTES) {
            return Optional.empty();
        }
        int check = ByteBuffer.wrap(delta).getInt();
        try {
            return inflate(delta)
                    .flatMap(parts -> apply(earlier, ByteBuffer.wrap(parts)))
                    .filter(later -> checksumOf(later) == check);
        } catch (DataFormatException | java.nio.BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static int checksumOf(byte[] bytes) {
        CRC32 check = new CRC32();
        check.update(bytes);
        return (int) check.getValue();
    }

    private static Optional<byte[]> inflate(byte[] delta) throws DataFormatException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(delta, CHECKSUM_BYTES, delta.length - CHECKSUM_BYTES);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary()) || out.size() > MAX_VERSION_BYTES) {
                    return Optional.empty();
                }
                out.write(buffer, 0, count);
            }
            return Optional.of(out.toByteArray());
        } finally {
            inflater.end();
        }
    }

    private static Optional<byte[]> apply(byte[] earlier, ByteBuffer parts) {
        long size = readVarint(parts);
        if (size > MAX_VERSION_BYTES) {
            return Optional.empty();
        }
        ByteBuffer later = ByteBuffer.allocate((int) size);
        while (parts.hasRemaining()) {
            long part = readVarint(parts);
            long length = part >>> 1;
            if (length > later.remaining()) {
                return Optional.empty();
            }
            if ((part & 1) == 0) {
                if (length > parts.remaining()) {
                    return Optional.empty();
                }
                later.put(parts.slice().limit((int) length));
                parts.position(parts.position() + (int) length);
                continue;
            }
            long offset = readVarint(parts);
            if (offset > earlier.length - length) {
                return Optional.empty();
            }
            later.put(earlier, (int) offset, (int) length);
        }
        return later.hasRemaining() ? Optional.empty() : Optional.of(later.array());
    }

    private static long readVarint(ByteBuffer in) {
        long number = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            byte b = in.get();
            number |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return number;
            }
        }
        throw new java.nio.BufferUnderflowException();
    }

    /** Where blocks of a version are, by a hash that moves on by one byte at small cost. */
    private static final class BlockIndex {
        /** {@code FACTOR} to the power of {@code BLOCK}: what the byte that leaves the block was multiplied by. */
        private static final int REMOVED_BYTE_MULTIPLIER = power(HASH_MULTIPLIER, BLOCK_BYTES);

        private final byte[] bytes;
        private final int[] offsets;
        private final int mask;

        BlockIndex(byte[] bytes) {
            this.bytes = bytes;
            int size = Integer.highestOneBit(Math.max(16, bytes.length / BLOCK_BYTES * 2)) * 2;
            mask = size - 1;
            offsets = new int[size];
            for (int at = 0; at + BLOCK_BYTES <= bytes.length; at += BLOCK_BYTES) {
                offsets[bucket(hash(bytes, at))] = at + 1;
            }
        }

        private static int power(int base, int exponent) {
            int result = 1;
            for (int i = 0; i < exponent; i++) {
                result *= base;
            }
            return result;
        }

        private int bucket(int hash) {
            int mixed = hash * 0x9e3779b1;
            return mixed >>> 8 & mask;
        }

        static int hash(byte[] of, int at) {
            int hash = 0;
            for (int i = 0; i < BLOCK_BYTES; i++) {
                hash = hash * HASH_MULTIPLIER + of[at + i];
            }
            return hash;
        }

        static int roll(int hash, byte leaves, byte enters) {
            return hash * HASH_MULTIPLIER - REMOVED_BYTE_MULTIPLIER * leaves + enters;
        }

        /** Where the block {@code of[at, at + BLOCK)} is found, or -1. */
        int find(int hash, byte[] of, int at) {
            int offset = offsets[bucket(hash)] - 1;
            if (offset < 0 || !Arrays.equals(bytes, offset, offset + BLOCK_BYTES, of, at, at + BLOCK_BYTES)) {
                return -1;
            }
            return offset;
        }
    }
}
