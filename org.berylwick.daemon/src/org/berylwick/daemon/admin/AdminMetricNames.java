package org.berylwick.daemon.admin;

/** The metrics of the operators' service and of the process. */
public final class AdminMetricNames {
    /** Meter: calls of the operators' service that were let through. */
    public static final String CALLS = "admin.calls";

    /** Meter: changing calls refused for want of the right token. */
    public static final String UNAUTHENTICATED = "admin.unauthenticated";

    /** Meter: calls refused because too many waited for the store already. */
    public static final String OVERLOADED = "admin.overloaded";

    /** Gauge: number of the configuration version in force here. */
    public static final String VERSION = "config.version";

    /** Histogram, milliseconds: from the acceptance of a version to its being in force here. */
    public static final String CONVERGENCE = "config.convergence";

    /** Gauge: members known here, in any state. */
    public static final String MEMBERS = "members.known";

    /** Gauge, bytes: heap in use. */
    public static final String HEAP_USED = "jvm.heap.used";

    /** Gauge, bytes: heap that the process holds. */
    public static final String HEAP_COMMITTED = "jvm.heap.committed";

    /** Gauge: collections since the start. */
    public static final String GC_COUNT = "jvm.gc.count";

    /** Gauge, milliseconds: time spent in collections since the start. */
    public static final String GC_TIME = "jvm.gc.time";

    /** Gauge: live threads. */
    public static final String THREADS = "jvm.threads";

    /** Gauge, milliseconds: processor time used since the start. */
    public static final String CPU_TIME = "jvm.cpu.time";

    /** Gauge, milliseconds: since the start. */
    public static final String UPTIME = "jvm.uptime";

    private AdminMetricNames() {}
}
