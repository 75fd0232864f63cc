package org.berylwick.internal.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.lib.TimeSource;

/** Retry budgets of the services that this daemon sends requests to, one per service; thread-safe. */
public final class RetryBudgets {
    private static final double RETRY_RATIO = 0.2;
    private static final int MIN_RETRIES = 10;
    private static final long WINDOW_MILLIS = 10_000;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final TimeSource time;

    /** Creates an instance without budgets. */
    public RetryBudgets(TimeSource time) {
        this.time = time;
    }

    /** Returns the budget of a service; creates it on first use. */
    public RetryBudget forService(String service) {
        return budgets.computeIfAbsent(service, s -> new RetryBudget(time, RETRY_RATIO, MIN_RETRIES, WINDOW_MILLIS));
    }
}
