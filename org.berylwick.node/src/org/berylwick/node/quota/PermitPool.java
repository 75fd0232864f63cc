package org.berylwick.node.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** Decides at an entry node when a request of one organisation uses a permit, waits for one or is refused. */
final class PermitPool {
    /** Longest time between the grant of a permit and its use. */
    static final long VALID_NANOS = 1_000_000_000L;
    /** Time without a request after which the remaining permits are returned. */
    static final long IDLE_NANOS = 250_000_000L;

    private static final long DEMAND_WINDOW_NANOS = 200_000_000L;
    /**
     * Requests in the window from which on permits are taken in store. With fewer, the permits that lie idle on many
     * nodes would exceed the tolerance of the limit.
     */
    private static final int MIN_DEMAND_AHEAD = 3;
    /** Retry-After beyond this time would keep callers away after the demand has fallen. */
    private static final long MAX_RETRY_NANOS = 10_000_000_000L;

    private final Deque<Batch> batches = new ArrayDeque<>();
    private int permits;
    private int lastBatch;
    private long windowStartedAt;
    private int demandInWindow;
    private int demandInPreviousWindow;
    private long lastRequestAt;
    private long holdUntil;
    private long promisedAt;
    private long paceNanos;
    private int expired;

    /** Permits that expire at the same time. */
    private record Batch(int count, long expiresAt) {}

    /** Whether a request may be sent. */
    enum Decision {
        /** It has used a permit. */
        USES_PERMIT,
        /** It needs an answer of the quota server. */
        NEEDS_ANSWER,
        /** The quota server has refused permits until later. */
        REFUSED
    }

    PermitPool(long now) {
        windowStartedAt = now;
        lastRequestAt = now;
        holdUntil = now;
        promisedAt = now;
    }

    /** Decides on a new request. */
    Decision onRequest(long now) {
        lastRequestAt = now;
        countDemand(now);
        if (take(now)) {
            return Decision.USES_PERMIT;
        }
        return now < holdUntil ? Decision.REFUSED : Decision.NEEDS_ANSWER;
    }

    private void countDemand(long now) {
        rollWindow(now);
        demandInWindow++;
    }

    private void rollWindow(long now) {
        long elapsed = now - windowStartedAt;
        if (elapsed < DEMAND_WINDOW_NANOS) {
            return;
        }
        demandInPreviousWindow = elapsed < 2 * DEMAND_WINDOW_NANOS ? demandInWindow : 0;
        demandInWindow = 0;
        windowStartedAt = now;
    }

    /** Estimates the number of requests in the last 200 ms from two windows of fixed start. */
    private int recentDemand(long now) {
        rollWindow(now);
        double elapsedShare = (double) (now - windowStartedAt) / DEMAND_WINDOW_NANOS;
        return demandInWindow + (int) (demandInPreviousWindow * (1 - elapsedShare));
    }

    /** Uses a permit, if there is one. */
    boolean take(long now) {
        dropExpired(now);
        Batch first = batches.peekFirst();
        if (first == null) {
            return false;
        }
        batches.removeFirst();
        if (first.count() > 1) {
            batches.addFirst(new Batch(first.count() - 1, first.expiresAt()));
        }
        permits--;
        return true;
    }

    private void dropExpired(long now) {
        while (!batches.isEmpty() && batches.peekFirst().expiresAt() <= now) {
            int count = batches.removeFirst().count();
            permits -= count;
            expired += count;
        }
    }

    /** Whether to ask for further permits before the present ones are used up. */
    boolean shouldAskAhead(long now) {
        return now >= holdUntil && permits * 2 <= lastBatch && recentDemand(now) >= MIN_DEMAND_AHEAD;
    }

    /** Returns the number of permits to ask for. */
    int wanted(int waiting, long now) {
        int demand = recentDemand(now);
        return Math.max(Math.max(1, waiting), demand >= MIN_DEMAND_AHEAD ? demand : 0);
    }

    /**
     * Stores granted permits.
     *
     * @param count number of permits
     * @param askedAt time at which they were asked for, from which they are valid
     */
    void onGranted(int count, long askedAt) {
        if (count > 0) {
            batches.addLast(new Batch(count, askedAt + VALID_NANOS));
            permits += count;
            lastBatch = count;
        }
    }

    /** Records that the limit is used up, and when to ask again. */
    void onUsedUp(long holdNanos, long retryNanos, long newPaceNanos, long now) {
        holdUntil = now + holdNanos;
        promisedAt = Math.min(now + Math.max(holdNanos, retryNanos), now + MAX_RETRY_NANOS);
        paceNanos = newPaceNanos;
    }

    /** Ends the time in which requests are refused without a question, because the limit has changed. */
    void endHold(long now) {
        holdUntil = Math.min(holdUntil, now);
    }

    /**
     * Returns the time after which a request that is refused now should be sent again; each refusal gets a later one.
     */
    long nextRetryNanos(long now) {
        long retryAt = Math.max(promisedAt, now);
        promisedAt = Math.min(retryAt + paceNanos, now + MAX_RETRY_NANOS);
        return Math.max(1, retryAt - now);
    }

    /** Takes a permit back whose request did not run, if it is still valid. */
    boolean takeBack(long expiresAt, long now) {
        if (expiresAt <= now) {
            return false;
        }
        batches.addFirst(new Batch(1, expiresAt));
        permits++;
        return true;
    }

    /** Returns until when the permit is valid that would be used next. */
    long nextExpiry(long now) {
        dropExpired(now);
        return batches.isEmpty() ? now : batches.peekFirst().expiresAt();
    }

    /** Removes the permits that have expired, or that have not been used for some time, and returns their number. */
    int removeUnused(long now) {
        dropExpired(now);
        if (now - lastRequestAt < IDLE_NANOS) {
            return 0;
        }
        return removeAll();
    }

    /** Removes all permits, and returns their number. */
    int removeAll() {
        int removed = permits;
        permits = 0;
        batches.clear();
        return removed;
    }

    /** Returns and resets the number of permits that expired. */
    int drainExpired() {
        int count = expired;
        expired = 0;
        return count;
    }

    int permits() {
        return permits;
    }

    long lastRequestAt() {
        return lastRequestAt;
    }
}
