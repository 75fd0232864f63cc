package org.berylwick.lib;

/**
 * How requests of the selected routes and brands are treated.
 *
 * @param name unique among policies
 * @param priority where several policies select one route of one brand, the highest applies; equal ones clash
 * @param routes the routes, by label
 * @param brands the brands, by label
 * @param trafficClass decides the share of slots and the place in the queue
 * @param timeoutMillis longest time from receiving the request to its final answer
 * @param maxAttempts upper bound of attempts, 1 for none but the first
 * @param idempotent whether running the request twice does no harm
 * @param idempotencyKey whether repeats of the caller are recognised by the {@code Idempotency-Key} header
 */
public record Policy(
        String name,
        int priority,
        Selector routes,
        Selector brands,
        TrafficClass trafficClass,
        long timeoutMillis,
        int maxAttempts,
        boolean idempotent,
        KeyRule idempotencyKey) {
    /** What a route asks of the {@code Idempotency-Key} request header. */
    public enum KeyRule {
        /** The header has no meaning here. */
        IGNORED,
        /** Requests with the header run once in all; requests without it are accepted. */
        OPTIONAL,
        /** Requests without the header are refused. */
        REQUIRED
    }
}
