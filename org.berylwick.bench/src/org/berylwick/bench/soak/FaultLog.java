package org.berylwick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** When which kind of fault was in force, and how often it struck; any thread may use it. */
final class FaultLog {
    private static final Duration AFTERMATH = Duration.ofSeconds(5);

    private final TimeSource time = TimeSource.SYSTEM;
    private final List<Interval> intervals = new ArrayList<>();
    private final Map<FaultKind, Long> struck = new EnumMap<>(FaultKind.class);

    /** One fault in force. */
    final class Interval {
        private final FaultKind kind;
        private final long fromNanos = time.nanoTime();
        private volatile long overNanos = Long.MAX_VALUE;

        private Interval(FaultKind kind) {
            this.kind = kind;
        }

        /** Notes that it is over; its aftermath begins. */
        void end() {
            overNanos = Deadline.after(time, AFTERMATH).atNanos();
        }

        private boolean overlaps(long sinceNanos) {
            return overNanos == Long.MAX_VALUE || overNanos - sinceNanos > 0;
        }
    }

    /** Notes that a fault begins. */
    synchronized Interval begin(FaultKind kind) {
        Interval interval = new Interval(kind);
        intervals.add(interval);
        return interval;
    }

    /** Notes that a fault had an effect so many times. */
    synchronized void strike(FaultKind kind, long times) {
        struck.merge(kind, times, Long::sum);
    }

    /** How often a kind had an effect. */
    synchronized long struck(FaultKind kind) {
        return struck.getOrDefault(kind, 0L);
    }

    /** Kinds whose effects may have reached into the time since {@code nanos}, for the few seconds after them too. */
    synchronized List<FaultKind> kindsSince(long nanos) {
        return intervals.stream()
                .filter(i -> i.overlaps(nanos))
                .map(i -> i.kind)
                .distinct()
                .toList();
    }
}
