package org.berylwick.internal.idempotency;

/** The names of the metrics of requests with an {@code Idempotency-Key}. */
public final class KeyMetrics {
    /** Counter: requests that claimed their key and were allowed to run. */
    public static final String GRANTED = "keys.granted";

    /** Counter: requests whose key another request had already claimed. */
    public static final String TAKEN = "keys.taken";

    /**
     * Counter: requests refused without being run, because their claim failed or there were too many outstanding
     * claims.
     */
    public static final String REFUSED = "keys.refused";

    /** Counter: claims whose settlement was written to the store. */
    public static final String SETTLED = "keys.settled";

    /** Counter: failed attempts to settle a claim that are retried. */
    public static final String SETTLE_RETRIES = "keys.settle.retries";

    /** Counter: claims whose settlement was abandoned. */
    public static final String NOT_SETTLED = "keys.not-settled";

    /** Gauge: claims that are not settled yet, including those that are still being made. */
    public static final String OUTSTANDING = "keys.outstanding";

    /** Timer: time from the request for a claim to its outcome, including the wait for a worker thread. */
    public static final String CLAIM_TIME = "keys.claim-time";

    private KeyMetrics() {}
}
