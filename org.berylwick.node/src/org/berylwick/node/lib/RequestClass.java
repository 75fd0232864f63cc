package org.berylwick.node.lib;

/**
 * A class of requests that share their statistics. There are too many routes to keep statistics for each, and requests
 * with the same kind, priority and latency objective have similar service times.
 *
 * @param kind whether the requests may be retried, and whether their responses are large
 * @param priority priority, 0 being the highest
 * @param objectiveMillis latency objective, 0 for none
 */
public record RequestClass(RouteKind kind, int priority, int objectiveMillis) {
    private static final int PRIME = 31;

    /** Returns the class of the requests of a route. */
    public static RequestClass of(Route route) {
        return new RequestClass(route.kind(), route.priority(), (int) (route.objectiveNanos() / 1_000_000));
    }

    // Written out, because the generated methods of a record are linked at run time, which adds some milliseconds to
    // each start of a node.
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
