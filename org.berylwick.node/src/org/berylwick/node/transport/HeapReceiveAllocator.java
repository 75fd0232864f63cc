package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Receives into buffers on the heap.
 *
 * <p>By default each read allocates and frees a buffer outside of it, which costs more than to copy what was read: most
 * messages are under a kilobyte. The buffer of a connection grows while large bodies arrive.
 */
public final class HeapReceiveAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    private static final int INITIAL_BYTES = 2_048;
    private static final int MAX_BYTES = 65_536;
    private static final int GROWTH_FACTOR = 4;

    /** Creates the allocator of one channel, or of all those that a server accepts. */
    public HeapReceiveAllocator() {}

    @Override
    public MaxMessageHandle newHandle() {
        return new HeapHandle();
    }

    private final class HeapHandle extends MaxMessageHandle {
        private int nextBytes = INITIAL_BYTES;

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(nextBytes);
        }

        @Override
        public int guess() {
            return nextBytes;
        }

        @Override
        public void lastBytesRead(int bytes) {
            if (bytes == attemptedBytesRead()) {
                nextBytes = Math.min(MAX_BYTES, nextBytes * GROWTH_FACTOR);
            } else if (bytes < INITIAL_BYTES) {
                nextBytes = INITIAL_BYTES;
            }
            super.lastBytesRead(bytes);
        }
    }
}
