package org.berylwick.internal.retry;

import org.berylwick.lib.TimeSource;

/**
 * Bounds retries to a share of the requests of the last seconds.
 *
 * <p>In an outage every request fails, and without a bound each of them would arrive several times at servers that are
 * overloaded already. A small floor lets a service with few requests retry at all. Any thread may use it.
 */
public final class RetryBudget {
    private static final int BUCKETS = 10;

    private final TimeSource time;
    private final double retryRatio;
    private final int minRetries;
    private final long bucketNanos;
    private final long originNanos;
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucket;

    /**
     * A budget with no request seen yet.
     *
     * @param retryRatio retries allowed for each request of the window
     * @param minRetries retries allowed in a window whatever the number of requests
     * @param windowMillis length of the window
     */
    public RetryBudget(TimeSource time, double retryRatio, int minRetries, long windowMillis) {
        this.time = time;
        this.retryRatio = retryRatio;
        this.minRetries = minRetries;
        this.bucketNanos = Math.max(1, windowMillis * 1_000_000L / BUCKETS);
        this.originNanos = time.nanoTime();
    }

    /** Notes a request, once however often it is sent. */
    public synchronized void countRequest() {
        requests[currentBucketIndex()]++;
    }

    /** Takes one retry out of the budget if there is one left. */
    public synchronized boolean tryAcquireRetry() {
        int index = currentBucketIndex();
        if (sum(retries) + 1 > minRetries + retryRatio * sum(requests)) {
            return false;
        }
        retries[index]++;
        return true;
    }

    private int currentBucketIndex() {
        long bucket = (time.nanoTime() - originNanos) / bucketNanos;
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
