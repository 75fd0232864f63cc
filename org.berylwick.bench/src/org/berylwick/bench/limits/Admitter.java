package org.berylwick.bench.limits;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Consumer;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.internal.limit.SlotLimits;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/** One way to give slots to requests. */
public sealed interface Admitter {
    /**
     * Asks for a slot.
     *
     * @param answer is given what frees the slot, or nothing if the request is refused
     */
    void ask(TrafficClass trafficClass, Deadline deadline, Consumer<Optional<Runnable>> answer);

    /** The limiter that daemons use. */
    final class Shares implements Admitter {
        private final SlotLimiter limiter;

        /** A limiter with shares for {@code limits}. */
        public Shares(EventLoop loop, SlotLimits limits) {
            MetricRegistry metrics = new MetricRegistry();
            limiter = new SlotLimiter(loop, loop, metrics, new Invariants(metrics), limits);
        }

        @Override
        public void ask(TrafficClass trafficClass, Deadline deadline, Consumer<Optional<Runnable>> answer) {
            limiter.acquire(trafficClass, deadline).thenAccept(admission -> {
                switch (admission) {
                    case Admission.Admitted(SlotLimiter.Permit permit) -> answer.accept(Optional.of(permit::close));
                    case Admission.Refused refused -> answer.accept(Optional.empty());
                }
            });
        }
    }

    /** One queue for all, which is looked at when a slot comes free: first come first served, or by urgency. */
    final class OneQueue implements Admitter {
        private final TimeSource time;
        private final int queueLimit;
        private final Queue<Waiter> queue;
        private int free;

        private record Waiter(TrafficClass trafficClass, Deadline deadline, Consumer<Optional<Runnable>> answer) {}

        private OneQueue(TimeSource time, int slots, int queueLimit, Queue<Waiter> queue) {
            this.time = time;
            this.free = slots;
            this.queueLimit = queueLimit;
            this.queue = queue;
        }

        /** First come, first served. */
        public static OneQueue firstComeFirstServed(TimeSource time, int slots, int queueLimit) {
            return new OneQueue(time, slots, queueLimit, new ArrayDeque<>());
        }

        /** The limiter that daemons had before shares: most urgent class first, then earliest deadline. */
        public static OneQueue mostUrgentFirst(TimeSource time, int slots, int queueLimit) {
            Comparator<Waiter> order = Comparator.<Waiter, TrafficClass>comparing(Waiter::trafficClass)
                    .thenComparingLong(w -> w.deadline.atNanos());
            return new OneQueue(time, slots, queueLimit, new PriorityQueue<>(order));
        }

        @Override
        public void ask(TrafficClass trafficClass, Deadline deadline, Consumer<Optional<Runnable>> answer) {
            if (free > 0) {
                free--;
                answer.accept(Optional.of(this::release));
            } else if (queue.size() >= queueLimit) {
                answer.accept(Optional.empty());
            } else {
                queue.add(new Waiter(trafficClass, deadline, answer));
            }
        }

        private void release() {
            free++;
            while (free > 0 && !queue.isEmpty()) {
                Waiter w = queue.poll();
                if (w.deadline.isPast(time)) {
                    w.answer.accept(Optional.empty());
                    continue;
                }
                free--;
                w.answer.accept(Optional.of(this::release));
            }
        }
    }

    /** Slots and queue divided for good, a part for each class. */
    final class FixedPartition implements Admitter {
        private final Map<TrafficClass, OneQueue> parts = new EnumMap<>(TrafficClass.class);

        /** Parts as large as the shares of {@link SlotLimiter} are by default. */
        public FixedPartition(TimeSource time, int slots, int queueLimit) {
            parts.put(TrafficClass.CONFIRMATION, part(time, slots / 3, queueLimit / 3));
            parts.put(TrafficClass.READ, part(time, slots / 3, queueLimit / 3));
            parts.put(TrafficClass.LOOKUP, part(time, slots / 6, queueLimit / 6));
            parts.put(TrafficClass.BULK, part(time, slots / 6, queueLimit / 6));
        }

        private static OneQueue part(TimeSource time, int slots, int queueLimit) {
            return OneQueue.firstComeFirstServed(time, slots, queueLimit);
        }

        @Override
        public void ask(TrafficClass trafficClass, Deadline deadline, Consumer<Optional<Runnable>> answer) {
            parts.get(trafficClass).ask(trafficClass, deadline, answer);
        }
    }
}
