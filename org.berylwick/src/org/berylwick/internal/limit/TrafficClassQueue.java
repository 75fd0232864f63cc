package org.berylwick.internal.limit;

import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.berylwick.lib.TrafficClass;

/**
 * The requests of one traffic class: the number of slots in use, the waiting requests and the mean hold time of slots.
 *
 * <p>Not thread-safe: guarded by the lock of its {@link SlotLimiter}.
 */
final class TrafficClassQueue {
    /** Longest mean hold time with which a class may borrow; with longer ones it returns slots too late. */
    static final Duration MAX_HOLD_TIME_TO_BORROW = Duration.ofSeconds(1);

    private static final Comparator<SlotRequest> BY_LATEST_START = (a, b) -> {
        int byLatestStart = Long.signum(a.latestStartAtNanos() - b.latestStartAtNanos());
        return byLatestStart != 0 ? byLatestStart : Long.signum(a.arrivalNumber() - b.arrivalNumber());
    };

    /**
     * Weight of a new hold time in the mean. With 0.1 roughly the last dozen hold times determine the mean, about as
     * many as a backend server has slots.
     */
    private static final double HOLD_TIME_SMOOTHING_FACTOR = 0.1;

    private final TrafficClass trafficClass;
    private final TreeSet<SlotRequest> waitingRequests = new TreeSet<>(BY_LATEST_START);
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

    /** Adds a measured hold time to the mean. */
    void recordHoldTime(long nanos) {
        meanHoldNanos =
                meanHoldNanos == 0 ? nanos : meanHoldNanos + HOLD_TIME_SMOOTHING_FACTOR * (nanos - meanHoldNanos);
    }

    /** Mean time for which a request holds its slot; zero before the first measurement. */
    long meanHoldNanos() {
        return (long) meanHoldNanos;
    }

    /**
     * Returns whether this class may borrow idle slots that are guaranteed to other classes.
     *
     * <p>A slot lent to a transfer of several minutes is unavailable for minutes, even if the lending class needs it.
     * Bulk requests therefore never borrow, even if the last ones were short, and neither does a class with a long mean
     * hold time.
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

    /** Removes and returns the request that can wait longest, the last one in the order of latest start times. */
    SlotRequest pollLast() {
        return waitingRequests.pollLast();
    }

    Optional<SlotRequest> peekFirst() {
        return waitingRequests.isEmpty() ? Optional.empty() : Optional.of(waitingRequests.first());
    }

    /** Number of waiting requests that are served before {@code request}. */
    int countAhead(SlotRequest request) {
        return waitingRequests.headSet(request).size();
    }

    /**
     * Estimates how long a request waits for a slot, based on the mean hold time.
     *
     * @param requestsAhead number of waiting requests before it
     * @param guaranteedSlots number of slots guaranteed to the class
     * @return nanoseconds from now
     */
    long estimateWaitNanos(int requestsAhead, int guaranteedSlots) {
        return (long) ((requestsAhead + 1) * meanHoldNanos / Math.max(1, Math.max(inUse, guaranteedSlots)));
    }

    /**
     * Removes every waiting request that is not expected to start in time.
     *
     * @param guaranteedSlots number of slots guaranteed to the class
     * @param onRemoved called for each removed request
     */
    void removeUnservable(long nowNanos, int guaranteedSlots, Consumer<SlotRequest> onRemoved) {
        int requestsAhead = 0;
        for (Iterator<SlotRequest> i = waitingRequests.iterator(); i.hasNext(); ) {
            SlotRequest request = i.next();
            if (request.latestStartAtNanos() - nowNanos > 0
                    && request.latestStartAtNanos() - nowNanos >= estimateWaitNanos(requestsAhead, guaranteedSlots)) {
                requestsAhead++;
                continue;
            }
            i.remove();
            onRemoved.accept(request);
        }
    }
}
