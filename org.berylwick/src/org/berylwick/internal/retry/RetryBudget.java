package org.berylwick.internal.retry;

import org.berylwick.lib.TimeSource;

/**
 * Limits retries to a ratio of the requests in a sliding window.
 *
 * <p>In an outage every request fails, and without a limit each of them would be sent several times to servers that are
 * already overloaded. A small minimum allows retries for services with few requests. Thread-safe.
 */
public final class RetryBudget {
    private static final int BUCKETS = 10;

    private final TimeSource time;
    private final double retryRatio;
    private final int minRetries;
    private final long bucketNanos;
    private final long createdAtNanos;
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucket;

    /**
     * Creates a budget without requests.
     *
     * @param retryRatio retries allowed per request in the window
     * @param minRetries retries allowed in a window in addition, regardless of the number of requests
     * @param windowMillis length of the window
     */
    public RetryBudget(TimeSource time, double retryRatio, int minRetries, long windowMillis) {
        this.time = time;
        this.retryRatio = retryRatio;
        this.minRetries = minRetries;
        this.bucketNanos = Math.max(1, windowMillis * 1_000_000L / BUCKETS);
        this.createdAtNanos = time.nanoTime();
    }

    /** Counts a request; to be called once per request, not per attempt. */
    public synchronized void countRequest() {
        requests[advanceToCurrentBucket()]++;
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public synchronized boolean tryAcquireRetry() {
        int index = advanceToCurrentBucket();
        if (sum(retries) + 1 > minRetries + retryRatio * sum(requests)) {
            return false;
        }
        retries[index]++;
        return true;
    }

    /** Clears the buckets that have left the window and returns the index of the current bucket. */
    private int advanceToCurrentBucket() {
        long bucket = (time.nanoTime() - createdAtNanos) / bucketNanos;
        long expiredBuckets = Math.min(BUCKETS, bucket - newestBucket);
        for (long i = 1; i <= expiredBuckets; i++) {
            int index = (int) ((newestBucket + i) % BUCKETS);
            requests[index] = 0;
            retries[index] = 0;
        }
        if (expiredBuckets > 0) {
            newestBucket = bucket;
        }
        return (int) (newestBucket % BUCKETS);
    }

    private static long sum(long[] counts) {
        long total = 0;
        for (long c : counts) {
            total += c;
        }
        return total;
    }
}
