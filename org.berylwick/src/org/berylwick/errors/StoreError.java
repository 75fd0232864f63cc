package org.berylwick.errors;

import java.util.OptionalLong;

/** Why a call to the platform's store did not succeed. */
public sealed interface StoreError {
    /** Nothing was done: no connection, or the store said that it is out. */
    record Unavailable(String detail) implements StoreError {}

    /**
     * Nothing was done: the store's rate limit was met.
     *
     * @param retryAfterMillis when the store will take calls again
     */
    record RateLimited(long retryAfterMillis) implements StoreError {}

    /**
     * Nothing was written: the object was not in the state that the writer named.
     *
     * @param currentVersion the object's version, empty if there is no object
     */
    record PreconditionFailed(OptionalLong currentVersion) implements StoreError {}

    /** No answer in time or a connection lost on the way: a write may or may not have taken effect. */
    record OutcomeUnknown(String detail) implements StoreError {}

    /** Nothing was written: the value is larger than the store holds. */
    record TooLarge(int limitBytes) implements StoreError {}

    /** The store answered something that this client cannot read. */
    record Malformed(String detail) implements StoreError {}
}
