package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** Messages of a connection that wait until requests ahead of them have been answered; confined to the event loop. */
final class WaitingInput {
    private static final int MAX_MESSAGES = 64;
    private static final int MAX_BYTES = 262_144;

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private int contentBytes;

    /**
     * A message that waits.
     *
     * @param message part of a request
     * @param arrivedAt when it was read, on the scale of {@link System#nanoTime}
     */
    record Entry(Object message, long arrivedAt) {}

    void add(Object message, long now) {
        entries.add(new Entry(message, now));
        contentBytes += contentBytes(message);
    }

    Entry poll() {
        Entry first = entries.poll();
        contentBytes -= contentBytes(first.message());
        return first;
    }

    /** The message that has waited longest; there must be one. */
    Object peek() {
        return entries.peek().message();
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Whether reading from the connection should stop. */
    boolean isFull() {
        return entries.size() > MAX_MESSAGES || contentBytes > MAX_BYTES;
    }

    void releaseAll() {
        while (!entries.isEmpty()) {
            ReferenceCountUtil.release(entries.poll().message());
        }
        contentBytes = 0;
    }

    private static int contentBytes(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
}
