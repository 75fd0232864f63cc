package org.berylwick.internal.idempotency;

/** How a claimant settles its claim. */
public sealed interface Settlement {
    /** The request certainly did not run: its record is removed, and the key can be claimed again. */
    record Release() implements Settlement {}

    /**
     * The request ran or may have run: its record is kept with {@code state}, which decides the response to
     * repetitions.
     */
    record Keep(KeyState state) implements Settlement {}
}
