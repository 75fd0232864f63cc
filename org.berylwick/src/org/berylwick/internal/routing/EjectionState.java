package org.berylwick.internal.routing;

import java.time.Duration;
import java.util.Optional;
import org.berylwick.lib.Deadline;

/**
 * Whether one member is kept from requests because those sent there failed.
 *
 * <p>Ejected for a backoff that doubles each time, then on probation: one idempotent request at a time shows whether it
 * is well again. Not safe for use by several threads.
 */
final class EjectionState {
    /** Failures in a row after which a member is ejected. */
    static final int FAILURES_TO_EJECT = 5;

    /** Good answers in a row that end a probation. */
    static final int SUCCESSES_TO_RETURN = 3;

    static final Duration INITIAL_BACKOFF = Duration.ofSeconds(1);
    static final Duration MAX_BACKOFF = Duration.ofSeconds(60);

    /** A probation that no idempotent request came to end in that time ends by itself. */
    static final Duration MAX_PROBATION = Duration.ofSeconds(10);

    /** Time without ejection after which the next one starts at the first backoff again. */
    static final Duration BACKOFF_RESET_AFTER = Duration.ofMinutes(5);

    /** Whether a member may be chosen. */
    enum Status {
        /** Like any other. */
        HEALTHY,
        /** For one idempotent request at a time. */
        PROBATION,
        /** Only if nobody else is left. */
        EJECTED
    }

    private int consecutiveFailures;
    private int successesSinceEjection;
    private int ejectionCount;
    private Optional<Deadline> ejectedUntil = Optional.empty();
    private long readmittedAtNanos;

    /** How it stands now. */
    Status status(long nowNanos) {
        if (ejectedUntil.isEmpty()) {
            return Status.HEALTHY;
        }
        long nanosSinceBackoff = nowNanos - ejectedUntil.get().atNanos();
        if (nanosSinceBackoff < 0) {
            return Status.EJECTED;
        }
        // Some services get no idempotent requests at all; without an end their members would never come back.
        return nanosSinceBackoff < MAX_PROBATION.toNanos() ? Status.PROBATION : Status.HEALTHY;
    }

    /** Notes a good answer; tells whether the member came back by it. */
    boolean recordSuccess(long nowNanos) {
        consecutiveFailures = 0;
        if (ejectedUntil.isEmpty() || status(nowNanos) == Status.EJECTED) {
            return false;
        }
        successesSinceEjection++;
        if (successesSinceEjection < SUCCESSES_TO_RETURN) {
            return false;
        }
        ejectedUntil = Optional.empty();
        readmittedAtNanos = nowNanos;
        return true;
    }

    /** Notes a failure; gives the backoff if the member is ejected by it. */
    Optional<Duration> recordFailure(long nowNanos) {
        Status status = status(nowNanos);
        if (status == Status.EJECTED) {
            return Optional.empty();
        }
        consecutiveFailures++;
        // Once ejected it has to prove itself: on probation a single failure is enough.
        if (status == Status.HEALTHY && consecutiveFailures < FAILURES_TO_EJECT) {
            return Optional.empty();
        }
        return Optional.of(eject(nowNanos));
    }

    /** Ejects it; gives the backoff. */
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
