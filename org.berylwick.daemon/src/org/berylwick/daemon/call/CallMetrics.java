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

/** Metrics of the call path. Thread-safe. */
public final class CallMetrics {
    /** Counter: calls that received a final response from a backend server. */
    public static final String ANSWERED = "call.answered";

    /** Counter: calls that failed and were reported as not run. */
    public static final String NOT_RUN = "call.not-run";

    /** Counter: calls that failed and were reported with an unknown outcome. */
    public static final String UNKNOWN = "call.unknown";

    /** Counter: calls that match no route or have invalid headers. */
    public static final String REJECTED = "call.rejected";

    /** Counter: calls whose caller disconnected before the end of the response. */
    public static final String CANCELLED = "call.cancelled";

    /** Prefix of counters, followed by the name of the verdict: retry decisions after an attempt without a response. */
    public static final String RETRY_VERDICT_PREFIX = "call.verdict.";

    /** Counter: responses that were truncated while being streamed. */
    public static final String TRUNCATED = "call.answer.cut";

    /** Counter: truncated responses that were resumed by another attempt. */
    public static final String RESUMED = "call.answer.resumed";

    /** Counter: responses dropped because they don't carry the id of their request alone. */
    public static final String MISMATCHED = "call.answer.crossed";

    /** Timer: from receiving a call to the headers of its final response. */
    public static final String RESPONSE_START_LATENCY = "call.latency.head";

    /** Counter: times that the process of the backend server was found to have ended. */
    public static final String BACKEND_EXITS = "call.backend.exits";

    /** Counter: times that a request began to be refused, or for longer, because backend servers ended running it. */
    public static final String QUARANTINE_HOLDS = "call.quarantine.holds";

    /** Gauge: requests refused now because backend servers ended while they ran them. */
    public static final String QUARANTINE_HELD = "call.quarantine.held";

    /** Gauge: calls in progress in this daemon, as entry or as owner. */
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

    /** Registers the metrics in {@code registry}. */
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

    /** Records the final outcome of a call. */
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

    /** Records that a call started in this daemon. */
    void callStarted() {
        running.incrementAndGet();
    }

    /** Records that a call ended in this daemon. */
    void callEnded() {
        running.decrementAndGet();
    }

    /** Number of calls in progress in this daemon. */
    int running() {
        return running.get();
    }
}
