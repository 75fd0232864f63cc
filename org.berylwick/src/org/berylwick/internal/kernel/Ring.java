package org.berylwick.internal.kernel;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from many threads to the one thread of a duty.
 *
 * @param <M> the message type, usually sealed
 */
public final class Ring<M> {
    /** What became of an offered message. */
    public enum Offer {
        /** The duty will see it. */
        ACCEPTED,
        /** The ring is full; the message is not in it. */
        FULL
    }

    private final MpscArrayQueue<M> queue;
    private final LongAdder refused = new LongAdder();
    private volatile Thread consumer;

    /**
     * An empty ring.
     *
     * @param capacity most messages held at once
     */
    public Ring(int capacity) {
        queue = new MpscArrayQueue<>(capacity);
    }

    /** Puts a message in, from any thread, without waiting. */
    public Offer offer(M message) {
        if (!queue.offer(message)) {
            refused.increment();
            return Offer.FULL;
        }
        LockSupport.unpark(consumer);
        return Offer.ACCEPTED;
    }

    /** Takes the next message, waiting up to {@code nanos}; for the duty's thread alone. */
    public Optional<M> poll(long nanos) {
        consumer = Thread.currentThread();
        M message = queue.poll();
        if (message != null || nanos <= 0) {
            return Optional.ofNullable(message);
        }
        LockSupport.parkNanos(nanos);
        return Optional.ofNullable(queue.poll());
    }

    /** How many messages were refused since the start. */
    public long refusedCount() {
        return refused.sum();
    }
}
