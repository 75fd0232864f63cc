package org.berylwick.internal.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.lib.TimeSource;

/** One retry budget for each service that this daemon sends requests to; any thread may use it. */
public final class RetryBudgets {
    private static final double RETRY_RATIO = 0.2;
    private static final int MIN_RETRIES = 10;
    private static final long WINDOW_MILLIS = 10_000;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final TimeSource time;

    /** No service seen yet. */
    public RetryBudgets(TimeSource time) {
        this.time = time;
    }

    /** The budget of a service. */
    public RetryBudget forService(String service) {
        return budgets.computeIfAbsent(service, s -> new RetryBudget(time, RETRY_RATIO, MIN_RETRIES, WINDOW_MILLIS));
    }
}
