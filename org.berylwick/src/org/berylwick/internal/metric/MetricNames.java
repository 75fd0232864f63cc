package org.berylwick.internal.metric;

/** The metrics that the library itself keeps. */
public final class MetricNames {
    /** Counter: how often an invariant was checked; the invariant's name follows. */
    public static final String INVARIANT_CHECKS = "invariant.checks.";

    /** Counter: how often an invariant did not hold; the invariant's name follows. */
    public static final String INVARIANT_BREACHES = "invariant.breaches.";

    private MetricNames() {}
}
