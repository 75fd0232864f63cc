package org.berylwick.daemon.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.internal.retry.RetryRule;
import org.berylwick.lib.Outcome;

/** The metrics of the call path; any thread may count. */
public final class CallMetrics {
    /** Counter: calls given their final answer by the backend server. */
    public static final String ANSWERED = "call.answered";

    /** Counter: calls given up as not run. */
    public static final String NOT_RUN = "call.not-run";

    /** Counter: calls given up as unknown. */
    public static final String UNKNOWN = "call.unknown";

    /** Counter: calls that no route takes or that break a rule. */
    public static final String REJECTED = "call.rejected";

    /** Counter: callers that went away before the end of their answer. */
    public static final String CANCELLED = "call.cancelled";

    /** Counter: what was decided after an attempt without answer; the verdict's name follows. */
    public static final String RETRY_VERDICT_PREFIX = "call.verdict.";

    /** Counter: answers cut while they streamed. */
    public static final String TRUNCATED = "call.answer.cut";

    /** Counter: answers that went on from another attempt. */
    public static final String RESUMED = "call.answer.resumed";

    /** Counter: answers dropped because they name another request. */
    public static final String MISMATCHED = "call.answer.crossed";

    /** Timer: from receiving a call to the head of its final answer. */
    public static final String RESPONSE_START_LATENCY = "call.latency.head";

    /** Gauge: calls that run in this daemon, as entry or as owner. */
    public static final String RUNNING = "call.running";

    private final Counter answered;
    private final Counter notRun;
    private final Counter unknown;
    private final Counter rejected;
    private final Counter cancelled;
    private final Counter truncated;
    private final Counter resumed;
    private final Counter mismatched;
    private final Timer responseStartLatency;
    private final Map<RetryRule.Verdict, Counter> verdicts = new EnumMap<>(RetryRule.Verdict.class);
    private final AtomicInteger running = new AtomicInteger();

    /** Counts in {@code registry}. */
    CallMetrics(MetricRegistry registry) {
        answered = registry.counter(ANSWERED);
        notRun = registry.counter(NOT_RUN);
        unknown = registry.counter(UNKNOWN);
        rejected = registry.counter(REJECTED);
        cancelled = registry.counter(CANCELLED);
        truncated = registry.counter(TRUNCATED);
        resumed = registry.counter(RESUMED);
        mismatched = registry.counter(MISMATCHED);
        responseStartLatency = registry.timer(RESPONSE_START_LATENCY);
        for (RetryRule.Verdict verdict : RetryRule.Verdict.values()) {
            verdicts.put(verdict, registry.counter(RETRY_VERDICT_PREFIX + verdict));
        }
        registry.gauge(RUNNING, () -> running::get);
    }

    /** A call got its final outcome. */
    void countOutcome(Outcome<?> outcome, long elapsedNanos) {
        responseStartLatency.update(elapsedNanos, TimeUnit.NANOSECONDS);
        switch (outcome) {
            case Outcome.Answered<?> a -> answered.inc();
            case Outcome.RefusedNotRun<?> r -> notRun.inc();
            case Outcome.Unknown<?> u -> unknown.inc();
        }
    }

    void countVerdict(RetryRule.Verdict verdict) {
        verdicts.get(verdict).inc();
    }

    void countRejected() {
        rejected.inc();
    }

    void countCancelled() {
        cancelled.inc();
    }

    void countTruncated() {
        truncated.inc();
    }

    void countResumed() {
        resumed.inc();
    }

    void countMismatched() {
        mismatched.inc();
    }

    /** A call begins here. */
    void callStarted() {
        running.incrementAndGet();
    }

    /** A call ended here. */
    void callEnded() {
        running.decrementAndGet();
    }

    /** Calls that run here now. */
    int running() {
        return running.get();
    }
}
