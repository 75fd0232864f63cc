package org.berylwick.node.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The counters and gauges of a node by metric name; confined to the event loop. */
public final class Counters {
    private final Map<String, long[]> counts = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /** Adds one to a counter. */
    public void increment(String name) {
        add(name, 1);
    }

    /** Adds an amount to a counter. */
    public void add(String name, long amount) {
        counts.computeIfAbsent(name, counterName -> new long[1])[0] += amount;
    }

    /** Returns the value of a counter, 0 if it was never incremented. */
    public long count(String name) {
        long[] counter = counts.get(name);
        return counter == null ? 0 : counter[0];
    }

    /** Registers a gauge whose value is read when the metrics are rendered. */
    public void registerGauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** Returns all values as text, one line "name value" for each. */
    public String render() {
        StringBuilder text = new StringBuilder();
        counts.forEach((counterName, counter) ->
                text.append(counterName).append(' ').append(counter[0]).append('\n'));
        gauges.forEach((gaugeName, gauge) ->
                text.append(gaugeName).append(' ').append(gauge.getAsLong()).append('\n'));
        return text.toString();
    }
}
