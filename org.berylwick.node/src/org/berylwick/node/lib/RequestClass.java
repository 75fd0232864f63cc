package org.berylwick.node.lib;

/**
 * Requests that are alike: routes are too many to learn each, and those of one kind, rank and objective take alike.
 *
 * @param kind what may be repeated
 * @param priority rank, 0 the highest
 * @param objectiveMillis latency objective, 0 for none
 */
public record RequestClass(RouteKind kind, int priority, int objectiveMillis) {
    private static final int PRIME = 31;

    /** The class of a route's requests. */
    public static RequestClass of(Route route) {
        return new RequestClass(route.kind(), route.priority(), (int) (route.objectiveNanos() / 1_000_000));
    }

    // Spelt out: those that are made at run time cost each start of a node some milliseconds.
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestClass o
                && o.kind == kind
                && o.priority == priority
                && o.objectiveMillis == objectiveMillis;
    }

    @Override
    public int hashCode() {
        return (kind.ordinal() * PRIME + priority) * PRIME + objectiveMillis;
    }
}
