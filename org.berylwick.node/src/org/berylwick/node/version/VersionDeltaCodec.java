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
 * Encodes and decodes deltas between two encoded versions: from the base version, which the receiver already has, to
 * the target version.
 *
 * <p>Deltas are used because complete versions are large: on a slow link, new versions may be accepted faster than
 * complete ones can be sent. Consecutive versions mostly differ in only a few routes.
 *
 * <p>A delta consists of the CRC-32 of the target (4 bytes), followed by a raw DEFLATE stream that contains the length
 * of the target and a sequence of instructions. An instruction begins with twice the number of bytes it produces, plus
 * one if they are copied from the base. In that case the offset in the base follows, otherwise the literal bytes. All
 * numbers are unsigned LEB128.
 */
public final class VersionDeltaCodec {
    /**
     * Length of the blocks of the base that are searched for in the target, and thereby the minimum length of a common
     * byte sequence that is found between the common start and the common end; about a quarter of an encoded route.
     */
    private static final int BLOCK_BYTES = 32;

    private static final int HASH_MULTIPLIER = 0x01000193;
    private static final int CHECKSUM_BYTES = 4;
    /** Upper limit for the length of a version, so that decoding a damaged delta does not allocate more memory. */
    private static final int MAX_VERSION_BYTES = 16 << 20;

    private static final int BUFFER_BYTES = 8_192;

    private VersionDeltaCodec() {}

    /**
     * Encodes a delta.
     *
     * @param base encoded version that the receiver has, empty if it has none
     * @param target encoded version that the receiver shall obtain
     */
    public static byte[] encode(byte[] base, byte[] target) {
        ByteArrayOutputStream instructions = new ByteArrayOutputStream();
        writeVarint(instructions, target.length);
        int maxCommonLength = Math.min(base.length, target.length);
        int mismatch = Arrays.mismatch(base, 0, maxCommonLength, target, 0, maxCommonLength);
        int prefixLength = mismatch < 0 ? maxCommonLength : mismatch;
        int suffixLength = 0;
        while (suffixLength < maxCommonLength - prefixLength
                && base[base.length - 1 - suffixLength] == target[target.length - 1 - suffixLength]) {
            suffixLength++;
        }
        writeCopy(instructions, 0, prefixLength);
        writeChangedRange(instructions, base, target, prefixLength, target.length - suffixLength);
        writeCopy(instructions, base.length - suffixLength, suffixLength);
        CRC32 crc32 = new CRC32();
        crc32.update(target);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(CHECKSUM_BYTES)
                .putInt((int) crc32.getValue())
                .array());
        deflate(instructions.toByteArray(), out);
        return out.toByteArray();
    }

    /** Writes {@code target[from, to)} as copies of sequences that the base contains, with literals between them. */
    private static void writeChangedRange(
            ByteArrayOutputStream instructions, byte[] base, byte[] target, int from, int to) {
        if (to - from < BLOCK_BYTES || base.length < BLOCK_BYTES) {
            writeLiteral(instructions, target, from, to);
            return;
        }
        BlockIndex index = new BlockIndex(base);
        int literalStart = from;
        int position = from;
        int hash = BlockIndex.hash(target, position);
        while (position + BLOCK_BYTES <= to) {
            int offset = index.find(hash, target, position);
            if (offset < 0) {
                if (position + BLOCK_BYTES < to) {
                    hash = BlockIndex.roll(hash, target[position], target[position + BLOCK_BYTES]);
                }
                position++;
                continue;
            }
            int length = matchLength(base, offset, target, position, to);
            writeLiteral(instructions, target, literalStart, position);
            writeCopy(instructions, offset, length);
            position += length;
            literalStart = position;
            if (position + BLOCK_BYTES <= to) {
                hash = BlockIndex.hash(target, position);
            }
        }
        writeLiteral(instructions, target, literalStart, to);
    }

    private static int matchLength(byte[] base, int offset, byte[] target, int position, int to) {
        int maxLength = Math.min(base.length - offset, to - position);
        int mismatch = Arrays.mismatch(base, offset, offset + maxLength, target, position, position + maxLength);
        return mismatch < 0 ? maxLength : mismatch;
    }

    private static void writeCopy(ByteArrayOutputStream instructions, int offset, int length) {
        if (length > 0) {
            writeVarint(instructions, length * 2L + 1);
            writeVarint(instructions, offset);
        }
    }

    private static void writeLiteral(ByteArrayOutputStream instructions, byte[] target, int from, int to) {
        if (to > from) {
            writeVarint(instructions, (to - from) * 2L);
            instructions.write(target, from, to - from);
        }
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long remaining = value;
        while (remaining >= 0x80) {
            out.write((int) (remaining & 0x7f) | 0x80);
            remaining >>>= 7;
        }
        out.write((int) remaining);
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
     * Decodes a delta.
     *
     * @param base encoded version from which the delta was computed, empty for none
     * @param delta the encoded delta
     * @return the target; empty if the delta is damaged or was computed from a different base
     */
    public static Optional<byte[]> decode(byte[] base, byte[] delta) {
        if (delta.length < CHECKSUM_BYTES) {
            return Optional.empty();
        }
        int checksum = ByteBuffer.wrap(delta).getInt();
        try {
            return inflate(delta)
                    .flatMap(instructions -> apply(base, ByteBuffer.wrap(instructions)))
                    .filter(target -> checksumOf(target) == checksum);
        } catch (DataFormatException | java.nio.BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static int checksumOf(byte[] bytes) {
        CRC32 crc32 = new CRC32();
        crc32.update(bytes);
        return (int) crc32.getValue();
    }

    private static Optional<byte[]> inflate(byte[] delta) throws DataFormatException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(delta, CHECKSUM_BYTES, delta.length - CHECKSUM_BYTES);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())
                        || out.size() > MAX_VERSION_BYTES) {
                    return Optional.empty();
                }
                out.write(buffer, 0, count);
            }
            return Optional.of(out.toByteArray());
        } finally {
            inflater.end();
        }
    }

    private static Optional<byte[]> apply(byte[] base, ByteBuffer instructions) {
        long size = readVarint(instructions);
        if (size > MAX_VERSION_BYTES) {
            return Optional.empty();
        }
        ByteBuffer target = ByteBuffer.allocate((int) size);
        while (instructions.hasRemaining()) {
            long instruction = readVarint(instructions);
            long length = instruction >>> 1;
            if (length > target.remaining()) {
                return Optional.empty();
            }
            if ((instruction & 1) == 0) {
                if (length > instructions.remaining()) {
                    return Optional.empty();
                }
                target.put(instructions.slice().limit((int) length));
                instructions.position(instructions.position() + (int) length);
                continue;
            }
            long offset = readVarint(instructions);
            if (offset > base.length - length) {
                return Optional.empty();
            }
            target.put(base, (int) offset, (int) length);
        }
        return target.hasRemaining() ? Optional.empty() : Optional.of(target.array());
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            byte b = in.get();
            value |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new java.nio.BufferUnderflowException();
    }

    /** Finds the blocks of a version by a rolling hash, as in the Rabin-Karp algorithm. */
    private static final class BlockIndex {
        /**
         * {@link #HASH_MULTIPLIER} to the power of {@link #BLOCK_BYTES}: the factor of the byte that leaves the block
         * when the hash is rolled.
         */
        private static final int REMOVED_BYTE_MULTIPLIER = power(HASH_MULTIPLIER, BLOCK_BYTES);

        private final byte[] bytes;
        /** For each hash bucket, the offset of a block plus one; 0 if the bucket is empty. */
        private final int[] offsets;

        private final int mask;

        BlockIndex(byte[] bytes) {
            this.bytes = bytes;
            int bucketCount = Integer.highestOneBit(Math.max(16, bytes.length / BLOCK_BYTES * 2)) * 2;
            mask = bucketCount - 1;
            offsets = new int[bucketCount];
            for (int position = 0; position + BLOCK_BYTES <= bytes.length; position += BLOCK_BYTES) {
                offsets[bucket(hash(bytes, position))] = position + 1;
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

        static int hash(byte[] data, int position) {
            int hash = 0;
            for (int i = 0; i < BLOCK_BYTES; i++) {
                hash = hash * HASH_MULTIPLIER + data[position + i];
            }
            return hash;
        }

        static int roll(int hash, byte removed, byte added) {
            return hash * HASH_MULTIPLIER - REMOVED_BYTE_MULTIPLIER * removed + added;
        }

        /**
         * Returns the offset of a block equal to {@code data[position, position + BLOCK_BYTES)}, or -1 if there is
         * none.
         */
        int find(int hash, byte[] data, int position) {
            int offset = offsets[bucket(hash)] - 1;
            if (offset < 0
                    || !Arrays.equals(bytes, offset, offset + BLOCK_BYTES, data, position, position + BLOCK_BYTES)) {
                return -1;
            }
            return offset;
        }
    }
}
