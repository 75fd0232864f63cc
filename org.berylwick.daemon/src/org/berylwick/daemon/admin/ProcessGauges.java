package org.berylwick.daemon.admin;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.ToLongFunction;

/** Registers the few figures of the JVM that tell whether a daemon keeps to its share of the VM. */
final class ProcessGauges {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private ProcessGauges() {}

    static void register(MetricRegistry metrics) {
        gauge(
                metrics,
                AdminMetricNames.HEAP_USED,
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        gauge(
                metrics,
                AdminMetricNames.HEAP_COMMITTED,
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getCommitted());
        gauge(metrics, AdminMetricNames.GC_COUNT, () -> sum(GarbageCollectorMXBean::getCollectionCount));
        gauge(metrics, AdminMetricNames.GC_TIME, () -> sum(GarbageCollectorMXBean::getCollectionTime));
        gauge(metrics, AdminMetricNames.THREADS, () ->
                (long) ManagementFactory.getThreadMXBean().getThreadCount());
        gauge(metrics, AdminMetricNames.CPU_TIME, ProcessGauges::cpuMillis);
        gauge(
                metrics,
                AdminMetricNames.UPTIME,
                () -> ManagementFactory.getRuntimeMXBean().getUptime());
    }

    private static void gauge(MetricRegistry metrics, String name, Gauge<Long> gauge) {
        metrics.gauge(name, () -> gauge);
    }

    private static long sum(ToLongFunction<GarbageCollectorMXBean> figure) {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(figure)
                .sum();
    }

    private static long cpuMillis() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system
                ? system.getProcessCpuTime() / NANOS_PER_MILLI
                : -1;
    }
}
