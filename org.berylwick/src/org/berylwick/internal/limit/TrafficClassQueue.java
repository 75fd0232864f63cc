package org.berylwick.internal.limit;

import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.berylwick.lib.TrafficClass;

/**
 * The requests of one traffic class: how many hold slots, which wait, and how long slots are held.
 *
 * <p>Not safe for use by several threads: its limiter's lock guards it.
 */
final class TrafficClassQueue {
    /** A class whose requests hold slots for longer can't return what it borrowed soon enough. */
    static final Duration MAX_HOLD_TIME_TO_BORROW = Duration.ofSeconds(1);

    private static final Comparator<SlotRequest> EARLIEST_START_FIRST = (a, b) -> {
        int byStart = Long.signum(a.startByNanos() - b.startByNanos());
        return byStart != 0 ? byStart : Long.signum(a.sequence() - b.sequence());
    };

    /** Weight of one new hold time in the mean: the last dozen or so decide, as a whole backend server's slots do. */
    private static final double HOLD_TIME_SMOOTHING_FACTOR = 0.1;

    private final TrafficClass trafficClass;
    private final TreeSet<SlotRequest> waitingRequests = new TreeSet<>(EARLIEST_START_FIRST);
    private int inUse;
    private double meanHoldNanos;

    TrafficClassQueue(TrafficClass trafficClass) {
        this.trafficClass = trafficClass;
    }

    TrafficClass trafficClass() {
        return trafficClass;
    }

    int inUse() {
        return inUse;
    }

    int waiting() {
        return waitingRequests.size();
    }

    void acquireSlot() {
        inUse++;
    }

    void releaseSlot() {
        inUse--;
    }

    /** Takes one measured hold time into the mean. */
    void recordHoldTime(long nanos) {
        meanHoldNanos =
                meanHoldNanos == 0 ? nanos : meanHoldNanos + HOLD_TIME_SMOOTHING_FACTOR * (nanos - meanHoldNanos);
    }

    /** How long a request holds its slot, zero before the first was measured. */
    long meanHoldNanos() {
        return (long) meanHoldNanos;
    }

    /**
     * Tells whether idle guarantees of other classes may be lent to this one.
     *
     * <p>A slot lent to a transfer of minutes is gone for minutes, whatever the lender needs. Bulk transfers therefore
     * never borrow, also when the last few were short, and neither does a class that was measured to be slow.
     */
    boolean mayBorrow() {
        return trafficClass != TrafficClass.BULK && meanHoldNanos <= MAX_HOLD_TIME_TO_BORROW.toNanos();
    }

    void add(SlotRequest request) {
        waitingRequests.add(request);
    }

    boolean remove(SlotRequest request) {
        return waitingRequests.remove(request);
    }

    SlotRequest pollFirst() {
        return waitingRequests.pollFirst();
    }

    /** Takes the waiter that can wait longest. */
    SlotRequest pollLast() {
        return waitingRequests.pollLast();
    }

    Optional<SlotRequest> peekFirst() {
        return waitingRequests.isEmpty() ? Optional.empty() : Optional.of(waitingRequests.first());
    }

    /** Waiters that go before {@code w}. */
    int countAhead(SlotRequest request) {
        return waitingRequests.headSet(request).size();
    }

    /**
     * When a slot comes to a waiter, by the measured pace.
     *
     * @param ahead waiters before it
     * @param slots that the class has
     * @return nanoseconds from now
     */
    long estimateWaitNanos(int ahead, int slots) {
        return (long) ((ahead + 1) * meanHoldNanos / Math.max(1, Math.max(inUse, slots)));
    }

    /** Takes out every waiter that could not start in time. */
    void removeUnservable(long nowNanos, int slots, Consumer<SlotRequest> onRemoved) {
        int ahead = 0;
        for (Iterator<SlotRequest> i = waitingRequests.iterator(); i.hasNext(); ) {
            SlotRequest request = i.next();
            if (request.startByNanos() - nowNanos > 0
                    && request.startByNanos() - nowNanos >= estimateWaitNanos(ahead, slots)) {
                ahead++;
                continue;
            }
            i.remove();
            onRemoved.accept(request);
        }
    }
}
