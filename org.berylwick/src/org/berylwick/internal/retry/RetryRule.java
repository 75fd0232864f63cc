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
    public Verdict decide(AttemptLog log, RetryBudget budget, TimeSource time) {
        if (log.maybeRan() && !idempotent) {
            return Verdict.UNSAFE;
        }
        if (!replayable) {
            return Verdict.NOT_REPLAYABLE;
        }
        if (log.attempts() >= maxAttempts) {
            return Verdict.NO_ATTEMPT_LEFT;
        }
        if (deadline.remainingMillis(time) <= 0) {
            return Verdict.TOO_LATE;
        }
        return budget.tryRetry() ? Verdict.RETRY : Verdict.OVER_BUDGET;
    }

    /**
     * How long the next attempt may take until the head of its answer.
     *
     * <p>An idempotent request with attempts left waits no longer than half of what remains, so that a member that went
     * silent leaves time for another; any other attempt has all of it, since giving it up early gains nothing.
     *
     * @return milliseconds, at least 1
     */
    public long attemptMillis(AttemptLog log, TimeSource time) {
        long remaining = Math.max(1, deadline.remainingMillis(time));
        boolean anotherPossible = idempotent && replayable && log.attempts() + 1 < maxAttempts;
        return anotherPossible ? Math.max(1, remaining / 2) : remaining;
    }
}
