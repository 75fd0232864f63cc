package org.berylwick.node.lib;

/** What may be repeated of a route's requests. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** May run more than once, and its answers are large. */
    BULK;

    /** Whether a request that may have run can be sent again. */
    public boolean isRetryable() {
        return this != NON_IDEMPOTENT;
    }
}
