package org.berylwick.internal.idempotency;

/** The metrics of keyed requests. */
public final class KeyMetrics {
    /** Counter: requests that were let run as the first with their key. */
    public static final String GRANTED = "keys.granted";

    /** Counter: requests that found their key taken. */
    public static final String TAKEN = "keys.taken";

    /** Counter: requests refused as not run because the store did not decide. */
    public static final String REFUSED = "keys.refused";

    /** Counter: claims whose settlement is in the store. */
    public static final String SETTLED = "keys.settled";

    /** Counter: attempts to settle that must be repeated. */
    public static final String SETTLE_RETRIES = "keys.settle.retries";

    /** Counter: claims whose settlement was given up. */
    public static final String NOT_SETTLED = "keys.not-settled";

    /** Gauge: claims made and not settled yet, with the requests that wait for their claim. */
    public static final String OUTSTANDING = "keys.outstanding";

    /** Timer: from asking for a claim to its outcome, waiting for a thread included. */
    public static final String CLAIM_TIME = "keys.claim-time";

    private KeyMetrics() {}
}
