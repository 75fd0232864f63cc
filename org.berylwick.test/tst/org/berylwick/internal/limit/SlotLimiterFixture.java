package org.berylwick.internal.limit;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.internal.limit.SlotLimiter.Permit;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;
import org.berylwick.testing.ManualAlarm;
import org.berylwick.testing.ManualTimeSource;

/** A limiter with a manual clock. */
final class SlotLimiterFixture {
    final ManualTimeSource time = new ManualTimeSource();
    final ManualAlarm scheduler = new ManualAlarm(time);
    final MetricRegistry metrics = new MetricRegistry();
    final Invariants invariants = new Invariants(metrics);
    final SlotLimiter limiter;

    SlotLimiterFixture(SlotLimits limits) {
        limiter = new SlotLimiter(time, scheduler, metrics, invariants, limits);
    }

    CompletableFuture<Admission> acquire(TrafficClass trafficClass, Duration timeout) {
        return limiter.acquire(trafficClass, Deadline.after(time, timeout));
    }

    /** Acquires a slot; fails if none is granted at once. */
    Permit acquireNow(TrafficClass trafficClass, Duration timeout) {
        return permit(acquire(trafficClass, timeout)).orElseThrow();
    }

    static Optional<Permit> permit(CompletableFuture<Admission> admission) {
        return admission.isDone()
                        && !admission.isCancelled()
                        && admission.join() instanceof Admission.Admitted(Permit permit)
                ? Optional.of(permit)
                : Optional.empty();
    }

    static boolean isRefused(CompletableFuture<Admission> admission) {
        return admission.isDone() && !admission.isCancelled() && admission.join() instanceof Admission.Refused;
    }

    long slotsExactBreaches() {
        return invariants.breaches(Invariant.SLOTS_EXACT);
    }
}
