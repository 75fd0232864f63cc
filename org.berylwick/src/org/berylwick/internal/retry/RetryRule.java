package org.berylwick.internal.retry;

import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/**
 * Decides whether a request may be retried.
 *
 * @param idempotent whether the request may safely run more than once
 * @param replayable whether the request body can be sent again
 * @param maxAttempts maximum number of attempts, including the first
 * @param deadline time by which the request must be answered
 */
public record RetryRule(boolean idempotent, boolean replayable, int maxAttempts, Deadline deadline) {
    private static final long MAX_RESERVE_MILLIS = 500;
    private static final long RESERVE_DIVISOR = 10;

    /** Decision after an attempt that was refused or whose outcome is unknown. */
    public enum Verdict {
        /** The request is to be sent again. */
        RETRY,
        /** The request may have run and is not idempotent. */
        UNSAFE,
        /** The request body is no longer available. */
        NOT_REPLAYABLE,
        /** The maximum number of attempts is reached. */
        NO_ATTEMPT_LEFT,
        /** The deadline has passed. */
        TOO_LATE,
        /** The retry budget of the service is exhausted. */
        OVER_BUDGET
    }

    /** Decides about a retry. The budget is checked last, so that only an actual retry is taken from it. */
    public Verdict decide(AttemptHistory history, RetryBudget budget, TimeSource time) {
        if (history.mayHaveRun() && !idempotent) {
            return Verdict.UNSAFE;
        }
        if (!replayable) {
            return Verdict.NOT_REPLAYABLE;
        }
        if (history.attempts() >= maxAttempts) {
            return Verdict.NO_ATTEMPT_LEFT;
        }
        if (deadline.remainingMillis(time) <= 0) {
            return Verdict.TOO_LATE;
        }
        return budget.tryAcquireRetry() ? Verdict.RETRY : Verdict.OVER_BUDGET;
    }

    /**
     * Returns the time limit of the next attempt until the head of its response.
     *
     * <p>An idempotent request with attempts left reserves a tenth of its remaining time, at most half a second, for
     * another member in case this one never responds. The reserve is small because it reduces the time of a server that
     * is slow but healthy; in a chain of calls every level reduces it again. Any other attempt gets all the remaining
     * time, since giving it up early gains nothing.
     *
     * @return milliseconds, at least 1
     */
    public long attemptTimeoutMillis(AttemptHistory history, TimeSource time) {
        long remainingMillis = Math.max(1, deadline.remainingMillis(time));
        boolean retryPossible = idempotent && replayable && history.attempts() + 1 < maxAttempts;
        return retryPossible
                ? remainingMillis - Math.min(MAX_RESERVE_MILLIS, remainingMillis / RESERVE_DIVISOR)
                : remainingMillis;
    }
}
