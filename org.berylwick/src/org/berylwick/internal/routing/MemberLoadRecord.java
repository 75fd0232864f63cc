package org.berylwick.internal.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.berylwick.lib.Member;

/**
 * What requests sent to one member since its start taught this process.
 *
 * <p>Safe for use from any thread; readers may see a value a moment old.
 */
final class MemberLoadRecord {
    /** A reported load counts for nothing after that time. */
    static final Duration LOAD_REPORT_EXPIRY = Duration.ofSeconds(2);

    /** Time over which a new member's share rises to that of the others. */
    static final Duration SLOW_START_DURATION = Duration.ofSeconds(10);

    /**
     * Incarnations closer than this are of one start: a start takes its incarnation from the clock in milliseconds, and
     * a refutation of a false suspicion adds one to it.
     */
    private static final long MIN_INCARNATION_GAP_BETWEEN_STARTS = 1_000;

    private static final double INITIAL_WEIGHT = 0.1;
    private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

    private final Member member;
    private final EjectionState ejection = new EjectionState();
    private final Optional<Long> appearedAtNanos;
    private final Optional<IntSupplier> localLoad;
    private int inFlight;
    private int loadFromOthers;
    private long reportedAtNanos;
    private double meanLatencyNanos;
    private int latencyCount;

    /**
     * A record without requests.
     *
     * @param appearedAtNanos when the member appeared, if it did so while this process was looking on
     * @param localLoad counts the member's requests, if it is this process's own
     */
    MemberLoadRecord(Member member, Optional<Long> appearedAtNanos, Optional<IntSupplier> localLoad) {
        this.member = member;
        this.appearedAtNanos = appearedAtNanos;
        this.localLoad = localLoad;
    }

    Member member() {
        return member;
    }

    /**
     * Tells whether what was learnt holds for {@code other} too.
     *
     * <p>A refutation must not count as a start: after a network split everybody refutes, and all that is known of load
     * and failures would be lost when it is needed most.
     */
    boolean isSameStart(Member other) {
        return Math.abs(member.incarnation() - other.incarnation()) < MIN_INCARNATION_GAP_BETWEEN_STARTS;
    }

    synchronized void beginRequest() {
        inFlight++;
    }

    synchronized void endRequest() {
        inFlight--;
    }

    synchronized int inFlight() {
        return inFlight;
    }

    /** Takes in the load that the owner counted, own requests among it. */
    synchronized void reportLoad(int load, long nowNanos) {
        // Own requests are counted here and need no report. What remains is what others send there.
        loadFromOthers = Math.max(0, load - inFlight);
        reportedAtNanos = nowNanos;
    }

    /** Requests at the member: own ones in flight, and those of others as last reported, fading with age. */
    double load(long nowNanos) {
        return localLoad.isPresent() ? localLoad.get().getAsInt() : estimatedLoad(nowNanos);
    }

    private synchronized double estimatedLoad(long nowNanos) {
        double ageRatio = (double) (nowNanos - reportedAtNanos) / LOAD_REPORT_EXPIRY.toNanos();
        return inFlight + loadFromOthers * Math.max(0, 1 - ageRatio);
    }

    /** Share of its slots that a new member gets requests for, rising to 1. */
    double weight(long nowNanos) {
        if (appearedAtNanos.isEmpty()) {
            return 1;
        }
        double ageRatio = (double) (nowNanos - appearedAtNanos.get()) / SLOW_START_DURATION.toNanos();
        return Math.clamp(ageRatio, INITIAL_WEIGHT, 1);
    }

    synchronized EjectionState.Status ejectionStatus(long nowNanos) {
        return ejection.status(nowNanos);
    }

    synchronized boolean recordSuccess(long nowNanos) {
        return ejection.recordSuccess(nowNanos);
    }

    synchronized Optional<Duration> recordFailure(long nowNanos) {
        return ejection.recordFailure(nowNanos);
    }

    synchronized Duration eject(long nowNanos) {
        latencyCount = 0;
        return ejection.eject(nowNanos);
    }

    /** Takes in how long an answer took to begin; gives how many were taken in since the last ejection. */
    synchronized int recordLatency(long nanos) {
        meanLatencyNanos =
                latencyCount == 0 ? nanos : meanLatencyNanos + LATENCY_SMOOTHING_FACTOR * (nanos - meanLatencyNanos);
        return ++latencyCount;
    }

    /** The mean time to an answer, if enough answers are known to tell. */
    synchronized Optional<Double> meanLatencyNanos(int minSamples) {
        return latencyCount >= minSamples ? Optional.of(meanLatencyNanos) : Optional.empty();
    }
}
