package org.berylwick.internal.idempotency;

/** How a claimant ends its claim. */
public sealed interface Settlement {
    /** The request was provably not run: the key is free again. */
    record Release() implements Settlement {}

    /** The request ran or may have run: repeats are answered by this. */
    record Keep(KeyState state) implements Settlement {}
}
