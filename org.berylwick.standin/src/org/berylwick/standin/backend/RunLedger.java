package org.berylwick.standin.backend;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts how often each request was run, by {@code x-request-id} and by {@code Idempotency-Key}; the judge of claims
 * about runs.
 *
 * <p>A run begins once the request's body has come whole. Backend servers may share a ledger, so that runs of one
 * request on two of them show. Any thread may use it.
 */
public final class RunLedger {
    private static final int MAX_IDS = 1_000_000;
    private static final int MAX_LISTED = 100;

    private final Map<String, LongAdder> byRequestId = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> byKey = new ConcurrentHashMap<>();
    private final LongAdder arrivals = new LongAdder();
    private final LongAdder runs = new LongAdder();
    private final LongAdder finished = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final LongAdder expired = new LongAdder();
    private final LongAdder shed = new LongAdder();
    private final LongAdder lateStarts = new LongAdder();
    private final LongAdder unrecorded = new LongAdder();

    /**
     * Sums over all requests.
     *
     * @param arrivals requests whose headers came
     * @param runs begun
     * @param finished answered to the last byte
     * @param cancelled stopped because the caller gave up or its connection ended
     * @param expired stopped at the request's own deadline
     * @param shed refused without a run
     * @param lateStarts runs begun more than the grace time after draining began
     * @param unrecorded runs whose id was not kept, because a million ids are
     * @param doubledIds request ids run more than once, a hundred at most
     * @param doubledKeys idempotency keys run more than once, a hundred at most
     */
    public record Totals(
            long arrivals,
            long runs,
            long finished,
            long cancelled,
            long expired,
            long shed,
            long lateStarts,
            long unrecorded,
            List<String> doubledIds,
            List<String> doubledKeys) {}

    void countArrival() {
        arrivals.increment();
    }

    void countRun(String requestId, String key) {
        runs.increment();
        record(byRequestId, requestId);
        record(byKey, key);
    }

    private void record(Map<String, LongAdder> counts, String name) {
        if (name.isEmpty()) {
            return;
        }
        LongAdder count = counts.get(name);
        if (count == null) {
            if (counts.size() >= MAX_IDS) {
                unrecorded.increment();
                return;
            }
            count = counts.computeIfAbsent(name, n -> new LongAdder());
        }
        count.increment();
    }

    void countFinished() {
        finished.increment();
    }

    void countCancelled() {
        cancelled.increment();
    }

    void countExpired() {
        expired.increment();
    }

    void countShed() {
        shed.increment();
    }

    void countLateStart() {
        lateStarts.increment();
    }

    /** How often the request was run. */
    public long runsOf(String requestId) {
        LongAdder count = byRequestId.get(requestId);
        return count == null ? 0 : count.sum();
    }

    /** How often requests with this idempotency key were run. */
    public long runsOfKey(String key) {
        LongAdder count = byKey.get(key);
        return count == null ? 0 : count.sum();
    }

    /** Runs begun more than the grace time after draining began. */
    public long lateStarts() {
        return lateStarts.sum();
    }

    /** The sums. */
    public Totals totals() {
        return new Totals(
                arrivals.sum(),
                runs.sum(),
                finished.sum(),
                cancelled.sum(),
                expired.sum(),
                shed.sum(),
                lateStarts.sum(),
                unrecorded.sum(),
                doubled(byRequestId),
                doubled(byKey));
    }

    private static List<String> doubled(Map<String, LongAdder> counts) {
        return counts.entrySet().stream()
                .filter(e -> e.getValue().sum() > 1)
                .map(Map.Entry::getKey)
                .limit(MAX_LISTED)
                .toList();
    }
}
