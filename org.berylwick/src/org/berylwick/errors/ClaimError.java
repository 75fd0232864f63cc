package org.berylwick.errors;

/** Why a claim of an idempotency key could not be written or settled. */
public sealed interface ClaimError {
    /** The platform's store is out. */
    record StoreUnavailable(String detail) implements ClaimError {}

    /**
     * The platform's store met its rate limit.
     *
     * @param retryAfterMillis when it will take calls again
     */
    record StoreBusy(long retryAfterMillis) implements ClaimError {}

    /** No answer of the store told in time what it holds. */
    record Undecided(String detail) implements ClaimError {}

    /** What the store holds cannot be read. */
    record Unreadable(String detail) implements ClaimError {}

    /** The store holds so many keys in one place that no more fit. */
    record SlotFull() implements ClaimError {}

    /** So many keyed requests are under way in this process that it takes no more. */
    record TooManyClaims() implements ClaimError {}

    /** Turns an error of the store into one of this layer. */
    static ClaimError of(StoreError error) {
        return switch (error) {
            case StoreError.Unavailable(String detail) -> new StoreUnavailable(detail);
            case StoreError.RateLimited(long millis) -> new StoreBusy(millis);
            case StoreError.PreconditionFailed ignored -> new Undecided("the slot kept changing");
            case StoreError.OutcomeUnknown(String detail) -> new Undecided(detail);
            case StoreError.TooLarge ignored -> new SlotFull();
            case StoreError.Malformed(String detail) -> new Unreadable(detail);
        };
    }
}
