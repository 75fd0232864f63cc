package org.berylwick.node.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counters and gauges by name; confined to the event loop. */
public final class Counters {
    private final Map<String, long[]> counts = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /** Adds one. */
    public void increment(String name) {
        add(name, 1);
    }

    /** Adds some. */
    public void add(String name, long amount) {
        counts.computeIfAbsent(name, counterName -> new long[1])[0] += amount;
    }

    /** What was counted under a name. */
    public long count(String name) {
        long[] counter = counts.get(name);
        return counter == null ? 0 : counter[0];
    }

    /** Registers a value that is read when asked for. */
    public void registerGauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** All values, one "name value" a line. */
    public String render() {
        StringBuilder text = new StringBuilder();
        counts.forEach((counterName, counter) ->
                text.append(counterName).append(' ').append(counter[0]).append('\n'));
        gauges.forEach((gaugeName, gauge) ->
                text.append(gaugeName).append(' ').append(gauge.getAsLong()).append('\n'));
        return text.toString();
    }
}
