package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.berylwick.node.lib.PlatformBounds;

/**
 * This node's share of the repeats that the whole fleet may send to the backend servers of a service; confined to the
 * event loop.
 *
 * <p>The allowance is a ratio of requests plus a fixed slack for each window, over all nodes. Each node spends the
 * ratio of what it was sent itself and an equal part of the slack, so that no node has to ask another. Calls made by a
 * run that was a repeat count as repeats too, at the service that is called, and cannot be told apart from here: part
 * of the allowance is left to them.
 */
public final class RetryBudget {
    /** Part of the allowance that is spent here; calls made by repeats take about as much again. */
    private static final double RETRY_FRACTION = 0.4;
    /**
     * Part that repeats of runs may take which a backend server ended with a failure of its own. Mostly a call that
     * they made failed, and the repeat makes all its calls again, to the service that is short of room already.
     */
    private static final double SERVER_FAILURE_RETRY_FRACTION = 0.22;

    /** In this time a node that could not read the list of nodes has heard most of them. */
    private static final long DISCOVERY_NANOS = 2_000_000_000L;

    private static final int BUCKETS = 20;

    private final PlatformBounds bounds;
    private final IntSupplier nodeCount;
    private final BooleanSupplier directoryRead;
    private final long startedAt;
    private final Map<String, Window> byService = new HashMap<>();

    /**
     * @param bounds ratio, slack and window
     * @param nodeCount how many nodes share the slack
     * @param directoryRead whether this node has read the list of nodes; without it, it takes none of the slack for 2
     *     s, until it has heard most of them
     * @param startedAt when this node was started, in {@link System#nanoTime} terms: for the length of a window it
     *     takes half of its part, since what it spent in a life that it does not remember may still lie in the window
     */
    public RetryBudget(PlatformBounds bounds, IntSupplier nodeCount, BooleanSupplier directoryRead, long startedAt) {
        this.bounds = bounds;
        this.nodeCount = nodeCount;
        this.directoryRead = directoryRead;
        this.startedAt = startedAt;
    }

    /** Counts a request for a service. */
    public void onRequest(String service, long now) {
        Window window = windowOf(service);
        window.advance(now);
        window.requests[window.index]++;
    }

    /** Takes one repeat of a request that would fail without it, or says that none is left. */
    public boolean tryAcquire(String service, long now) {
        return acquire(service, RETRY_FRACTION, now);
    }

    /** Takes one repeat of a request whose run failed at the backend server, or says that none is left. */
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
        window.retries[window.index]++;
        return true;
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

    /** Counts of the last window, in buckets; one bucket more than the window so that any span of it is covered. */
    private static final class Window {
        private final long bucketNanos;
        private final int[] requests = new int[BUCKETS];
        private final int[] retries = new int[BUCKETS];
        private int index;
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
                index = (index + 1) % BUCKETS;
                requests[index] = 0;
                retries[index] = 0;
            }
            currentBucket = Math.max(currentBucket, newBucket);
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
