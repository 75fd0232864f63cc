package org.berylwick.internal.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.berylwick.lib.Member;

/**
 * Load, latency and failures of one member since its start, as observed by the requests of this process.
 *
 * <p>Thread-safe; readers may see slightly outdated values.
 */
final class MemberLoadRecord {
    /** Age at which a reported load no longer counts. */
    static final Duration LOAD_REPORT_EXPIRY = Duration.ofSeconds(2);

    /** Time over which the slow-start factor of a new member rises to 1. */
    static final Duration SLOW_START_DURATION = Duration.ofSeconds(10);

    /**
     * Incarnations that differ by less than this belong to the same start of a member: a start takes its incarnation
     * from the clock in milliseconds, and each refutation of a false suspicion adds one.
     */
    private static final long MIN_INCARNATION_GAP_BETWEEN_STARTS = 1_000;

    private static final double INITIAL_SLOW_START_FACTOR = 0.1;
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
     * Creates a record without requests.
     *
     * @param appearedAtNanos when the member appeared; empty if it was there before this process first saw its service
     * @param localLoad returns the exact load, if the member is this process's own backend server
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
     * Returns whether {@code other} is the same start of this member, so that this record applies to it.
     *
     * <p>A refutation must not count as a start: after a network partition every member refutes a suspicion, and all
     * records of load and failures would be lost when they are needed most.
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

    /** Records the load that the member's daemon reported, which includes the requests of this process. */
    synchronized void reportLoad(int load, long nowNanos) {
        // This process counts its own requests exactly, so only the requests of other processes are kept.
        loadFromOthers = Math.max(0, load - inFlight);
        reportedAtNanos = nowNanos;
    }

    /**
     * Requests at the member: those in flight from this process, and those of other processes as last reported, which
     * decay linearly with the age of the report.
     */
    double load(long nowNanos) {
        return localLoad.isPresent() ? localLoad.get().getAsInt() : estimatedLoad(nowNanos);
    }

    private synchronized double estimatedLoad(long nowNanos) {
        double ageRatio = (double) (nowNanos - reportedAtNanos) / LOAD_REPORT_EXPIRY.toNanos();
        return inFlight + loadFromOthers * Math.max(0, 1 - ageRatio);
    }

    /** Factor by which the slots of a new member are multiplied when requests are distributed; rises linearly to 1. */
    double slowStartFactor(long nowNanos) {
        if (appearedAtNanos.isEmpty()) {
            return 1;
        }
        double ageRatio = (double) (nowNanos - appearedAtNanos.get()) / SLOW_START_DURATION.toNanos();
        return Math.clamp(ageRatio, INITIAL_SLOW_START_FACTOR, 1);
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

    /** Records the time until a response started; returns the number of samples since the last ejection. */
    synchronized int recordLatency(long nanos) {
        meanLatencyNanos =
                latencyCount == 0 ? nanos : meanLatencyNanos + LATENCY_SMOOTHING_FACTOR * (nanos - meanLatencyNanos);
        return ++latencyCount;
    }

    /** Exponentially weighted mean of the time until a response started; empty with fewer than {@code minSamples}. */
    synchronized Optional<Double> meanLatencyNanos(int minSamples) {
        return latencyCount >= minSamples ? Optional.of(meanLatencyNanos) : Optional.empty();
    }
}
