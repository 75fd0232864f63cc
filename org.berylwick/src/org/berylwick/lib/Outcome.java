package org.berylwick.lib;

import java.util.Optional;

/**
 * What is known about one attempt to have a request run.
 *
 * <p>{@link RefusedNotRun} is a promise: the backend server's code never saw the request. Whoever cannot prove that
 * answers {@link Unknown}. Any request may be sent again after the former, only an idempotent one after the latter.
 *
 * @param <A> the answer
 */
public sealed interface Outcome<A> {
    /** The backend server answered; the answer may still be cut short while it streams. */
    record Answered<A>(A answer) implements Outcome<A> {}

    /**
     * The request was not run.
     *
     * @param reason why
     * @param retryAfterMillis when coming back makes sense, if it does
     */
    record RefusedNotRun<A>(RefusalReason reason, Optional<Long> retryAfterMillis) implements Outcome<A> {}

    /**
     * The request may or may not have run.
     *
     * @param detail for logs
     */
    record Unknown<A>(String detail) implements Outcome<A> {}
}
