package org.berylwick.internal.retry;

import java.util.Optional;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;

/**
 * Summary of the failed attempts of one request so far; immutable.
 *
 * @param attempts number of attempts that have ended
 * @param mayHaveRun whether any attempt may have run the request
 * @param lastRefusalReason reason of the last refused attempt, {@code NO_MEMBER} if there was none
 * @param retryAfterMillis retry delay that the last refusal suggested
 * @param lastUnknownDetail detail of the last unknown outcome, empty if there was none
 */
public record AttemptHistory(
        int attempts,
        boolean mayHaveRun,
        RefusalReason lastRefusalReason,
        Optional<Long> retryAfterMillis,
        String lastUnknownDetail) {
    /** History of a request without attempts. */
    public static final AttemptHistory NONE =
            new AttemptHistory(0, false, RefusalReason.NO_MEMBER, Optional.empty(), "");

    /** Returns this history with one more attempt that was refused or whose outcome is unknown. */
    public AttemptHistory plus(Outcome<?> outcome) {
        return switch (outcome) {
            case Outcome.Answered<?> a ->
                throw new IllegalArgumentException(
                        "an answered attempt cannot be added: an answered request is not retried");
            case Outcome.RefusedNotRun<?>(RefusalReason refusalReason, Optional<Long> retryAfter) ->
                new AttemptHistory(attempts + 1, mayHaveRun, refusalReason, retryAfter, lastUnknownDetail);
            case Outcome.Unknown<?>(String unknownDetail) ->
                new AttemptHistory(attempts + 1, true, lastRefusalReason, retryAfterMillis, unknownDetail);
        };
    }

    /**
     * Returns the outcome reported to the caller when the request is not retried any more.
     *
     * <p>If an attempt may have run, the outcome of the whole request is unknown, even if later attempts were refused:
     * a caller to whom a request is reported as not run would send it again.
     */
    public <A> Outcome<A> finalOutcome() {
        return mayHaveRun
                ? new Outcome.Unknown<>(lastUnknownDetail)
                : new Outcome.RefusedNotRun<>(lastRefusalReason, retryAfterMillis);
    }
}
