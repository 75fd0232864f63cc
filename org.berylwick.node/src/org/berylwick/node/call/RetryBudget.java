package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.berylwick.node.lib.PlatformBounds;

/**
 * The share of this node in the retries that the whole fleet may send to the backend servers of a service. Confined to
 * the event loop.
 *
 * <p>The allowance of the fleet is a ratio of its requests plus a fixed slack in each window. Each node spends the
 * ratio of the requests that it received itself and an equal part of the slack, so that nodes need not coordinate.
 * Calls that a backend server makes while it processes a retry also count as retries, at the called service, but a node
 * cannot recognise them. Part of the allowance is therefore reserved for them.
 */
public final class RetryBudget {
    /** Fraction of the allowance used for direct retries; calls made by retried requests take about as much again. */
    private static final double RETRY_FRACTION = 0.4;
    /**
     * Fraction of the allowance used to retry requests that a backend server answered with an error. Usually a call
     * made by the request has failed, and a retry repeats all its calls, to a service that is already overloaded.
     */
    private static final double SERVER_FAILURE_RETRY_FRACTION = 0.22;

    /** Time within which a node that could not read the node directory has heard from most of the other nodes. */
    private static final long DISCOVERY_NANOS = 2_000_000_000L;

    private static final int BUCKETS = 20;

    private final PlatformBounds bounds;
    private final IntSupplier nodeCount;
    private final BooleanSupplier directoryRead;
    private final long startedAt;
    private final Map<String, Window> byService = new HashMap<>();

    /**
     * @param bounds retry ratio, slack and window
     * @param nodeCount number of nodes that share the slack
     * @param directoryRead whether this node has read the node directory; if not, it uses no slack for its first 2 s,
     *     until it has heard from most of the other nodes
     * @param startedAt start time of this node on the scale of {@link System#nanoTime}; for one window after its start
     *     the node uses half of its slack, since retries that it sent before a restart may still lie in the window
     */
    public RetryBudget(PlatformBounds bounds, IntSupplier nodeCount, BooleanSupplier directoryRead, long startedAt) {
        this.bounds = bounds;
        this.nodeCount = nodeCount;
        this.directoryRead = directoryRead;
        this.startedAt = startedAt;
    }

    /** Counts a request to a service. */
    public void onRequest(String service, long now) {
        Window window = windowOf(service);
        window.advance(now);
        window.requests[window.currentIndex]++;
    }

    /** Takes one retry from the budget for a request that would otherwise fail; returns false if none is left. */
    public boolean tryAcquire(String service, long now) {
        return acquire(service, RETRY_FRACTION, now);
    }

    /**
     * Takes one retry from the budget for a request that a backend server answered with an error; returns false if none
     * is left.
     */
    public boolean tryAcquireAfterServerFailure(String service, long now) {
        return acquire(service, SERVER_FAILURE_RETRY_FRACTION, now);
    }

    private boolean acquire(String service, double fraction, long now) {
        Window window = windowOf(service);
        window.advance(now);
        double allowed = fraction * (bounds.retryRatio() * window.sum(window.requests) + slack(now));
        if (window.sum(window.retries) + 1 > allowed) {
            return false;
        }
        window.retries[window.currentIndex]++;
        return true;
    }

    /** Returns a retry that was not run. */
    void release(String service, long acquiredAt, long now) {
        windowOf(service).release(acquiredAt, now);
    }

    private double slack(long now) {
        long age = now - startedAt;
        if (age < DISCOVERY_NANOS && !directoryRead.getAsBoolean()) {
            return 0;
        }
        double slackPerNode = bounds.retrySlack() / Math.max(1, nodeCount.getAsInt());
        return age < bounds.retryWindowNanos() ? slackPerNode / 2 : slackPerNode;
    }

    private Window windowOf(String service) {
        return byService.computeIfAbsent(service, key -> new Window(bounds.retryWindowNanos() / (BUCKETS - 1)));
    }

    /**
     * Counters of a sliding window in buckets; one bucket more than the window, so that they always cover all of it.
     */
    private static final class Window {
        private final long bucketNanos;
        private final int[] requests = new int[BUCKETS];
        private final int[] retries = new int[BUCKETS];
        private int currentIndex;
        private long currentBucket = Long.MIN_VALUE;

        Window(long bucketNanos) {
            this.bucketNanos = Math.max(1, bucketNanos);
        }

        void advance(long now) {
            long newBucket = Math.floorDiv(now, bucketNanos);
            if (currentBucket == Long.MIN_VALUE) {
                currentBucket = newBucket;
            }
            long steps = Math.min(BUCKETS, newBucket - currentBucket);
            for (long i = 0; i < steps; i++) {
                currentIndex = (currentIndex + 1) % BUCKETS;
                requests[currentIndex] = 0;
                retries[currentIndex] = 0;
            }
            currentBucket = Math.max(currentBucket, newBucket);
        }

        void release(long acquiredAt, long now) {
            advance(now);
            long steps = currentBucket - Math.floorDiv(acquiredAt, bucketNanos);
            if (steps >= BUCKETS) {
                return;
            }
            int index = Math.floorMod(currentIndex - (int) steps, BUCKETS);
            retries[index] = Math.max(0, retries[index] - 1);
        }

        int sum(int[] counts) {
            int total = 0;
            for (int count : counts) {
                total += count;
            }
            return total;
        }
    }
}
