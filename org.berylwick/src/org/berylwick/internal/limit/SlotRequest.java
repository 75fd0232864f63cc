package org.berylwick.internal.limit;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;

/** A request that asked for a slot; cancelling it takes it out of the queue at once. */
final class SlotRequest extends CompletableFuture<SlotLimiter.Admission> {
    private final TrafficClass trafficClass;
    private final Deadline deadline;
    private final long sequence;
    private final long arrivedAtNanos;
    private final long startByNanos;
    private final Consumer<SlotRequest> onCancel;

    /**
     * A request.
     *
     * @param meanHoldNanos how long such requests run
     */
    SlotRequest(
            TrafficClass trafficClass,
            Deadline deadline,
            long sequence,
            long nowNanos,
            long meanHoldNanos,
            Consumer<SlotRequest> onCancel) {
        this.trafficClass = trafficClass;
        this.deadline = deadline;
        this.sequence = sequence;
        this.arrivedAtNanos = nowNanos;
        this.onCancel = onCancel;
        // Started any later it would most likely be cut by its deadline, having used the slot for nothing. Half the
        // typical time, and never more than half of what remains: sizes within a class differ widely.
        long margin = Math.min(meanHoldNanos / 2, (deadline.atNanos() - nowNanos) / 2);
        this.startByNanos = deadline.atNanos() - Math.max(0, margin);
    }

    TrafficClass trafficClass() {
        return trafficClass;
    }

    Deadline deadline() {
        return deadline;
    }

    long sequence() {
        return sequence;
    }

    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /** The latest time at which starting it makes sense. */
    long startByNanos() {
        return startByNanos;
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
