package org.berylwick.internal.limit;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/**
 * Counts the slots of one backend server exactly and holds a short queue for them.
 *
 * <p>Safe for use from any thread.
 */
public final class SlotLimiter {
    private static final Comparator<Waiter> MOST_URGENT_FIRST = Comparator.<Waiter, TrafficClass>comparing(
                    w -> w.trafficClass)
            .thenComparingLong(w -> w.deadline.atNanos())
            .thenComparingLong(w -> w.sequence);

    private final TimeSource time;
    private final PriorityQueue<Waiter> queue = new PriorityQueue<>(MOST_URGENT_FIRST);
    private int slots;
    private int queueLimit;
    private int inUse;
    private long sequence;

    /** What became of asking for a slot. */
    public sealed interface Admission {
        /** A slot is held until the permit is closed. */
        record Admitted(Permit permit) implements Admission {}

        /** No slot, and no place in the queue or no time to wait; nothing is held. */
        record Refused() implements Admission {}
    }

    /** Holds one slot; closing it twice does no harm. */
    public final class Permit implements AutoCloseable {
        private final AtomicBoolean held = new AtomicBoolean(true);

        private Permit() {}

        @Override
        public void close() {
            if (held.compareAndSet(true, false)) {
                release();
            }
        }
    }

    private static final class Waiter {
        private final TrafficClass trafficClass;
        private final Deadline deadline;
        private final long sequence;
        private final CompletableFuture<Admission> future = new CompletableFuture<>();

        private Waiter(TrafficClass trafficClass, Deadline deadline, long sequence) {
            this.trafficClass = trafficClass;
            this.deadline = deadline;
            this.sequence = sequence;
        }
    }

    /** A limiter with all slots free. */
    public SlotLimiter(TimeSource time, int slots, int queueLimit) {
        this.time = time;
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Sets new limits; requests already admitted keep their slots. */
    public synchronized void setLimits(int newSlots, int newQueueLimit) {
        slots = newSlots;
        queueLimit = newQueueLimit;
    }

    /** Asks for a slot; the future completes when one is held or refused. */
    public synchronized CompletableFuture<Admission> acquire(TrafficClass trafficClass, Deadline deadline) {
        if (inUse < slots) {
            inUse++;
            return CompletableFuture.completedFuture(new Admission.Admitted(new Permit()));
        }
        if (queue.size() >= queueLimit || deadline.isPast(time)) {
            return CompletableFuture.completedFuture(new Admission.Refused());
        }
        Waiter waiter = new Waiter(trafficClass, deadline, sequence++);
        queue.add(waiter);
        return waiter.future;
    }

    /** Slots held now. */
    public synchronized int inUse() {
        return inUse;
    }

    /** Requests waiting now. */
    public synchronized int waiting() {
        return queue.size();
    }

    private void release() {
        Waiter next;
        while (true) {
            synchronized (this) {
                next = inUse <= slots ? queue.poll() : null;
                if (next == null) {
                    inUse--;
                    return;
                }
            }
            // Completed outside the lock: what runs next may ask for another slot.
            if (next.deadline.isPast(time)) {
                next.future.complete(new Admission.Refused());
                continue;
            }
            next.future.complete(new Admission.Admitted(new Permit()));
            return;
        }
    }
}
