package org.berylwick.internal.limit;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;

/** A request for a slot; cancelling it removes it from the queue at once. */
final class SlotRequest extends CompletableFuture<SlotLimiter.Admission> {
    private final TrafficClass trafficClass;
    private final Deadline deadline;
    private final long arrivalNumber;
    private final long arrivedAtNanos;
    private final long latestStartAtNanos;
    private final Consumer<SlotRequest> onCancel;

    /**
     * Creates a request.
     *
     * @param meanHoldNanos mean time for which requests of this class hold their slot
     * @param onCancel called when the request is cancelled
     */
    SlotRequest(
            TrafficClass trafficClass,
            Deadline deadline,
            long arrivalNumber,
            long arrivedAtNanos,
            long meanHoldNanos,
            Consumer<SlotRequest> onCancel) {
        this.trafficClass = trafficClass;
        this.deadline = deadline;
        this.arrivalNumber = arrivalNumber;
        this.arrivedAtNanos = arrivedAtNanos;
        this.onCancel = onCancel;
        // A request that starts later would most likely exceed its deadline and waste the slot. The margin is only
        // half the mean hold time, and at most half of the remaining time, because run times differ widely within a
        // class.
        long marginNanos = Math.min(meanHoldNanos / 2, (deadline.atNanos() - arrivedAtNanos) / 2);
        this.latestStartAtNanos = deadline.atNanos() - Math.max(0, marginNanos);
    }

    TrafficClass trafficClass() {
        return trafficClass;
    }

    Deadline deadline() {
        return deadline;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /** Latest time at which the request is still started. */
    long latestStartAtNanos() {
        return latestStartAtNanos;
    }

    @Override
    public boolean cancel(boolean mayInterruptIfRunning) {
        boolean cancelled = super.cancel(mayInterruptIfRunning);
        if (cancelled) {
            onCancel.accept(this);
        }
        return cancelled;
    }
}
