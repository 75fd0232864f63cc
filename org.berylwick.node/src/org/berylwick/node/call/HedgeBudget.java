package org.berylwick.node.call;

/**
 * The share of extra requests that this node may send to a service. Confined to the event loop.
 *
 * <p>A token bucket bounds the hedges of any interval, however long, by the share of its requests plus a burst. A
 * second limit over the last seconds leaves out the burst, so that the nodes together keep to the share when all of
 * them have slow requests at the same time.
 */
final class HedgeBudget {
    /** Largest number of hedges that may exceed the share in an interval. */
    static final int BURST = 3;
    /** Period over which hedges are at most the share of the requests. */
    static final long WINDOW_NANOS = 10_000_000_000L;

    private static final int BUCKETS = 21;
    private static final long BUCKET_NANOS = WINDOW_NANOS / (BUCKETS - 1);
    /**
     * Fraction of the share that is used over the period. With all of it, a window that ends after the last hedge, when
     * fewer requests arrive than before, contains a few too many.
     */
    private static final double WINDOW_FRACTION = 0.9;
    /** Tolerance for sums of a share that has no exact binary form. */
    private static final double ROUNDING = 1e-9;

    private final double share;
    private final int[] requests = new int[BUCKETS];
    private final int[] hedges = new int[BUCKETS];
    private double tokens;
    private long currentBucket = Long.MIN_VALUE;

    HedgeBudget(double share) {
        this.share = share;
    }

    void onRequest(long now) {
        advance(now);
        requests[index(currentBucket)]++;
        tokens = Math.min(BURST, tokens + share);
    }

    boolean hasRoom(long now) {
        if (tokens < 1 - ROUNDING) {
            return false;
        }
        advance(now);
        // All buckets cover more than the period, and all but the oldest cover less.
        int requestCount = -requests[index(currentBucket + 1)];
        int hedgeCount = 0;
        for (int i = 0; i < BUCKETS; i++) {
            requestCount += requests[i];
            hedgeCount += hedges[i];
        }
        return hedgeCount + 1 <= WINDOW_FRACTION * share * requestCount + ROUNDING;
    }

    void take(long now) {
        advance(now);
        hedges[index(currentBucket)]++;
        tokens--;
    }

    /** Returns a hedge that was not run. */
    void release(long takenAt, long now) {
        advance(now);
        tokens = Math.min(BURST, tokens + 1);
        long bucket = Math.floorDiv(takenAt, BUCKET_NANOS);
        if (bucket > currentBucket - BUCKETS) {
            hedges[index(bucket)]--;
        }
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, BUCKET_NANOS);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long first = Math.max(currentBucket + 1, bucket - BUCKETS + 1);
        for (long b = first; b <= bucket; b++) {
            requests[index(b)] = 0;
            hedges[index(b)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
