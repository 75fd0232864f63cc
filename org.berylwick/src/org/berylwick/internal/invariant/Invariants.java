package org.berylwick.internal.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.InvariantEvent;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.metric.MetricNames;

/**
 * Counts checks of invariants and their breaches.
 *
 * <p>A breach is logged and counted and the process goes on: stopping it would cut the requests that are well. Any
 * thread may check.
 */
public final class Invariants implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "invariants";

    private static final EventLog EVENTS = new EventLog(Invariants.class);

    private final Map<Invariant, Counter> checks = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Counter> breaches = new EnumMap<>(Invariant.class);

    /** Counts in {@code metrics}. */
    public Invariants(MetricRegistry metrics) {
        for (Invariant i : Invariant.values()) {
            checks.put(i, metrics.counter(MetricNames.INVARIANT_CHECKS + i));
            breaches.put(i, metrics.counter(MetricNames.INVARIANT_BREACHES + i));
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Notes one check.
     *
     * @param holds whether the invariant held
     * @param detail what was seen; asked for only on a breach
     */
    public void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        checks.get(invariant).inc();
        if (holds) {
            return;
        }
        breaches.get(invariant).inc();
        EVENTS.log(InvariantEvent.BREACH, invariant, detail.get());
    }

    /** Breaches of one invariant since the start. */
    public long breaches(Invariant invariant) {
        return breaches.get(invariant).getCount();
    }

    /** Checks of one invariant since the start. */
    public long checks(Invariant invariant) {
        return checks.get(invariant).getCount();
    }
}
