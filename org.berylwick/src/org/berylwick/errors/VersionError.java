package org.berylwick.errors;

/** Why a version could not be read or accepted, in the terms of the version layer. */
public sealed interface VersionError {
    /** The store gave no answer; reading again later may work. */
    record StoreUnavailable(String detail, long retryAfterMillis) implements VersionError {}

    /** The version's content is missing, corrupted or cannot be read. */
    record Damaged(String detail) implements VersionError {}

    /** Another operator's version was accepted first. */
    record Superseded() implements VersionError {}

    /** The store's answer was lost, and reading the head again did not settle whether the version was accepted. */
    record Undecided(String operationId, String detail) implements VersionError {}

    /** Turns a store's error on a read into one of this layer. */
    static VersionError ofRead(StoreError error) {
        return switch (error) {
            case StoreError.RateLimited(long retryAfterMillis) ->
                new StoreUnavailable("the store's rate limit was met", retryAfterMillis);
            case StoreError.Unavailable(String detail) -> new StoreUnavailable(detail, DEFAULT_RETRY_MILLIS);
            case StoreError.OutcomeUnknown(String detail) -> new StoreUnavailable(detail, DEFAULT_RETRY_MILLIS);
            case StoreError.Malformed(String detail) -> new StoreUnavailable(detail, DEFAULT_RETRY_MILLIS);
            case StoreError.TooLarge(int limit) -> new Damaged("a value is over " + limit + " bytes");
            case StoreError.PreconditionFailed ignored -> new Superseded();
        };
    }

    /** When to come back if the store did not say. */
    long DEFAULT_RETRY_MILLIS = 1_000;
}
