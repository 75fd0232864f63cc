package org.berylwick.node.call;

import java.util.function.Consumer;

/**
 * The exchanges of a connection in the order of their requests; confined to the event loop.
 *
 * <p>The exchanges are linked to each other, so that a connection with one request at a time allocates nothing for it.
 */
final class ExchangeQueue {
    private CallerExchange head;
    private CallerExchange tail;
    private int size;
    private long keptBytes;

    void add(CallerExchange exchange) {
        if (head == null) {
            head = exchange;
        } else {
            tail.setNext(exchange);
        }
        tail = exchange;
        size++;
        keptBytes += exchange.keptBytes();
    }

    /** Removes the oldest exchange. */
    CallerExchange poll() {
        CallerExchange first = head;
        head = first.next();
        if (head == null) {
            tail = null;
        }
        size--;
        keptBytes -= first.keptBytes();
        return first;
    }

    /** The oldest exchange, whose response is written; null if there is none. */
    CallerExchange head() {
        return head;
    }

    /** The exchange of the last request that was started; null if there is none. */
    CallerExchange tail() {
        return tail;
    }

    boolean isEmpty() {
        return head == null;
    }

    int size() {
        return size;
    }

    /** Bytes of the request bodies, and of the responses that wait behind another one. */
    long keptBytes() {
        return keptBytes;
    }

    /** Counts bytes of a response that waits in the queue. */
    void onResponseKept(int bytes) {
        keptBytes += bytes;
    }

    void forEach(Consumer<CallerExchange> action) {
        for (CallerExchange exchange = head; exchange != null; exchange = exchange.next()) {
            action.accept(exchange);
        }
    }
}
