package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/**
 * Joins the small parts of a response body, so that the memory for them is in proportion to their bytes; confined to
 * the event loop.
 *
 * <p>A server may send a body in chunks of a few bytes. Each part costs over a hundred bytes of objects, and keeps the
 * buffer that was read with it; limits of buffered bytes do not count that.
 */
public final class BodyCollector {
    /** A shorter part is copied. */
    private static final int MIN_PART_BYTES = 512;

    private static final int MAX_COLLECTED_BYTES = 8_192;
    private static final int INITIAL_BYTES = 64;

    private final Consumer<ByteBuf> recipient;
    private ByteBuf collected = Unpooled.EMPTY_BUFFER;

    /** @param recipient receives parts in order, and releases them */
    public BodyCollector(Consumer<ByteBuf> recipient) {
        this.recipient = recipient;
    }

    /** Adds a part of a body, and passes on what need not wait for the next one. */
    public void add(ByteBuf part) {
        if (part.readableBytes() >= MIN_PART_BYTES) {
            flush();
            recipient.accept(part);
            return;
        }
        if (!collected.isReadable()) {
            collected = Unpooled.buffer(INITIAL_BYTES, MAX_COLLECTED_BYTES);
        }
        collected.writeBytes(part);
        part.release();
        if (collected.maxWritableBytes() < MIN_PART_BYTES) {
            flush();
        }
    }

    /** Passes on what has been collected; to be called at the end of a read and of a body. */
    public void flush() {
        if (!collected.isReadable()) {
            return;
        }
        ByteBuf part = collected;
        collected = Unpooled.EMPTY_BUFFER;
        recipient.accept(part);
    }

    /** Discards what has been collected. */
    public void clear() {
        collected.release();
        collected = Unpooled.EMPTY_BUFFER;
    }
}
