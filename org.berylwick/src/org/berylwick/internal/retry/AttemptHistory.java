package org.berylwick.internal.retry;

import java.util.Optional;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;

/**
 * What is known of one request over all its attempts so far; immutable.
 *
 * @param attempts attempts that have ended
 * @param mayHaveRun whether any of them may have run the request
 * @param reason why the last one that was refused was
 * @param retryAfterMillis when coming back makes sense, as the last refusal had it
 * @param detail of the last unknown outcome, empty without one
 */
public record AttemptHistory(
        int attempts, boolean mayHaveRun, RefusalReason reason, Optional<Long> retryAfterMillis, String detail) {
    /** No attempt yet. */
    public static final AttemptHistory NONE =
            new AttemptHistory(0, false, RefusalReason.NO_MEMBER, Optional.empty(), "");

    /** This log with one more attempt that did not bring an answer. */
    public AttemptHistory plus(Outcome<?> outcome) {
        return switch (outcome) {
            case Outcome.Answered<?> a -> throw new IllegalArgumentException("an answered request has no next attempt");
            case Outcome.RefusedNotRun<?>(RefusalReason refusalReason, Optional<Long> retryAfter) ->
                new AttemptHistory(attempts + 1, mayHaveRun, refusalReason, retryAfter, detail);
            case Outcome.Unknown<?>(String unknownDetail) ->
                new AttemptHistory(attempts + 1, true, reason, retryAfterMillis, unknownDetail);
        };
    }

    /**
     * What the caller is told when the request is given up.
     *
     * <p>An attempt that may have run makes the whole request unknown, whatever later attempts were refused for: the
     * caller of a request that is called not run would send it again.
     */
    public <A> Outcome<A> finalOutcome() {
        return mayHaveRun ? new Outcome.Unknown<>(detail) : new Outcome.RefusedNotRun<>(reason, retryAfterMillis);
    }
}
