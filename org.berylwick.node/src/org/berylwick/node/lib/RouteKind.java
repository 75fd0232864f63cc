package org.berylwick.node.lib;

/** Kind of the requests of a route: whether they may be retried, and whether their responses are large. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** May run more than once, and has large responses. */
    BULK;

    /** Returns whether a request that may already have run may be sent again. */
    public boolean isRetryable() {
        return this != NON_IDEMPOTENT;
    }
}
