package org.berylwick.internal.limit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.berylwick.lib.TrafficClass;

/** The metrics of one slot limiter. */
final class SlotMetrics {
    /** Gauge: slots that the configuration declares. */
    static final String DECLARED = "limit.slots.declared";

    /** Gauge: slots that may currently be used. */
    static final String USABLE = "limit.slots.usable";

    /** Gauge: slots in use; the class is appended to the name. */
    static final String IN_USE = "limit.slots.in-use.";

    /** Gauge: waiting requests; the class is appended to the name. */
    static final String WAITING = "limit.queue.waiting.";

    /** Histogram: queueing time in microseconds of requests that got a slot; the class is appended to the name. */
    static final String WAIT_MICROS = "limit.queue.wait-micros.";

    /** Counter: requests that got a slot; the class is appended to the name. */
    static final String ADMITTED = "limit.admitted.";

    /** Counter: refused requests; the class and the cause are appended to the name. */
    static final String REFUSED = "limit.refused.";

    /** Counter: requests that their sender cancelled while they waited; the class is appended to the name. */
    static final String CANCELLED = "limit.cancelled.";

    /** Counter: requests shed by the backend server. */
    static final String SHED = "limit.shed";

    private final MetricRegistry registry;
    private final Map<TrafficClass, Counter> admitted = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Counter> cancelled = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Histogram> waitMicros = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Map<RefusalCause, Counter>> refused = new EnumMap<>(TrafficClass.class);
    private final Counter sheds;

    SlotMetrics(MetricRegistry registry) {
        this.registry = registry;
        sheds = registry.counter(SHED);
        for (TrafficClass c : TrafficClass.values()) {
            admitted.put(c, registry.counter(ADMITTED + c));
            cancelled.put(c, registry.counter(CANCELLED + c));
            waitMicros.put(c, registry.histogram(WAIT_MICROS + c));
            Map<RefusalCause, Counter> causes = new EnumMap<>(RefusalCause.class);
            for (RefusalCause cause : RefusalCause.values()) {
                causes.put(cause, registry.counter(REFUSED + c + "." + cause));
            }
            refused.put(c, causes);
        }
    }

    void gauge(String metric, Supplier<Integer> value) {
        registry.gauge(metric, () -> value::get);
    }

    void admitted(TrafficClass c) {
        admitted.get(c).inc();
    }

    void waited(TrafficClass c, long nanos) {
        waitMicros.get(c).update(nanos / 1_000);
    }

    void cancelled(TrafficClass c) {
        cancelled.get(c).inc();
    }

    void refused(TrafficClass c, RefusalCause cause) {
        refused.get(c).get(cause).inc();
    }

    void shed() {
        sheds.inc();
    }
}
