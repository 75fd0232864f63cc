package org.berylwick.internal.retry;

import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/**
 * Whether a request may be sent again.
 *
 * @param idempotent whether running it twice does no harm
 * @param replayable whether its body can be sent again
 * @param maxAttempts most attempts, the first included
 * @param deadline by when it must be answered
 */
public record RetryRule(boolean idempotent, boolean replayable, int maxAttempts, Deadline deadline) {
    private static final long MAX_RESERVE_MILLIS = 500;
    private static final long RESERVE_DIVISOR = 10;

    /** What is to be done after an attempt that brought no answer. */
    public enum Verdict {
        /** Send it again. */
        RETRY,
        /** It may have run, and must not run twice. */
        UNSAFE,
        /** Its body is gone. */
        NOT_REPLAYABLE,
        /** All attempts that the policy allows were made. */
        NO_ATTEMPT_LEFT,
        /** Its deadline has passed. */
        TOO_LATE,
        /** The daemon has made its share of retries. */
        OVER_BUDGET
    }

    /** Decides; the budget is asked last, and only a retry takes from it. */
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
     * How long the next attempt may take until the head of its answer.
     *
     * <p>An idempotent request with attempts left keeps a tenth of its time, at most half a second, for another member
     * in case this one never answers. Not more: what is kept back is lost to a server that is slow but sound, and at
     * every level of a chain of calls again. Any other attempt has all the time, since giving it up early gains
     * nothing.
     *
     * @return milliseconds, at least 1
     */
    public long attemptTimeoutMillis(AttemptHistory history, TimeSource time) {
        long remaining = Math.max(1, deadline.remainingMillis(time));
        boolean retryPossible = idempotent && replayable && history.attempts() + 1 < maxAttempts;
        return retryPossible ? remaining - Math.min(MAX_RESERVE_MILLIS, remaining / RESERVE_DIVISOR) : remaining;
    }
}
