package org.berylwick.internal.routing;

import java.time.Duration;
import java.util.Optional;
import org.berylwick.lib.Deadline;

/**
 * Outlier ejection state of one member, which keeps requests away from it after earlier ones failed or were slow.
 *
 * <p>A member is ejected for a backoff that doubles with each ejection. It is then on probation, during which one
 * idempotent request at a time probes whether it has recovered. Not thread-safe.
 */
final class EjectionState {
    /** Consecutive failures after which a healthy member is ejected. */
    static final int FAILURES_TO_EJECT = 5;

    /** Consecutive successes that end a probation. */
    static final int SUCCESSES_TO_READMIT = 3;

    static final Duration INITIAL_BACKOFF = Duration.ofSeconds(1);
    static final Duration MAX_BACKOFF = Duration.ofSeconds(60);

    /**
     * Longest probation. Without idempotent requests to probe the member, the probation ends after this time by itself.
     */
    static final Duration MAX_PROBATION = Duration.ofSeconds(10);

    /** If a member is ejected later than this after its readmission, the backoff starts at its initial value again. */
    static final Duration BACKOFF_RESET_AFTER = Duration.ofMinutes(5);

    /** Whether a member may be chosen. */
    enum Status {
        /** Receives requests like any other member. */
        HEALTHY,
        /** Receives one idempotent request at a time. */
        PROBATION,
        /** Receives requests only if no other member is available. */
        EJECTED
    }

    private int consecutiveFailures;
    private int successesSinceEjection;
    private int ejectionCount;
    private Optional<Deadline> ejectedUntil = Optional.empty();
    private long readmittedAtNanos;

    Status status(long nowNanos) {
        if (ejectedUntil.isEmpty()) {
            return Status.HEALTHY;
        }
        long nanosSinceBackoff = nowNanos - ejectedUntil.get().atNanos();
        if (nanosSinceBackoff < 0) {
            return Status.EJECTED;
        }
        // Some services receive no idempotent requests. Their members would never be readmitted if the probation did
        // not expire.
        return nanosSinceBackoff < MAX_PROBATION.toNanos() ? Status.PROBATION : Status.HEALTHY;
    }

    /** Records a success; returns whether it readmitted the member. */
    boolean recordSuccess(long nowNanos) {
        consecutiveFailures = 0;
        if (ejectedUntil.isEmpty() || status(nowNanos) == Status.EJECTED) {
            return false;
        }
        successesSinceEjection++;
        if (successesSinceEjection < SUCCESSES_TO_READMIT) {
            return false;
        }
        ejectedUntil = Optional.empty();
        readmittedAtNanos = nowNanos;
        return true;
    }

    /** Records a failure; returns the backoff if it ejected the member. */
    Optional<Duration> recordFailure(long nowNanos) {
        Status status = status(nowNanos);
        if (status == Status.EJECTED) {
            return Optional.empty();
        }
        consecutiveFailures++;
        // On probation a single failure ejects the member again.
        if (status == Status.HEALTHY && consecutiveFailures < FAILURES_TO_EJECT) {
            return Optional.empty();
        }
        return Optional.of(eject(nowNanos));
    }

    /** Ejects the member; returns the backoff. */
    Duration eject(long nowNanos) {
        if (ejectedUntil.isEmpty()
                && ejectionCount > 0
                && nowNanos - readmittedAtNanos > BACKOFF_RESET_AFTER.toNanos()) {
            ejectionCount = 0;
        }
        long backoffNanos = Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(ejectionCount, 10));
        ejectionCount++;
        consecutiveFailures = 0;
        successesSinceEjection = 0;
        ejectedUntil = Optional.of(new Deadline(nowNanos + backoffNanos));
        return Duration.ofNanos(backoffNanos);
    }
}
