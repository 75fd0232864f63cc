package org.berylwick.internal.spread;

import org.berylwick.lib.TimeSource;

/**
 * Token bucket rate limiter. Thread-safe.
 *
 * <p>Limits store calls, whose rate per daemon is lowered as the fleet grows, and the incoming streams that a daemon
 * admits.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final double burst;
    private double ratePerSecond;
    private double tokens;
    private long lastRefillNanos;

    /** Creates a full bucket that holds at most {@code burst} tokens. */
    public TokenBucket(TimeSource time, double ratePerSecond, double burst) {
        this.time = time;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefillNanos = time.nanoTime();
    }

    /** Changes the refill rate; tokens accumulated so far are kept. */
    public synchronized void setRate(double newRatePerSecond) {
        refill();
        ratePerSecond = newRatePerSecond;
    }

    /** Takes one token if available and returns whether it did. */
    public synchronized boolean tryTake() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Takes {@code count} tokens unconditionally, for calls that are made in any case; the balance may become negative.
     */
    public synchronized void charge(long count) {
        refill();
        tokens -= count;
    }

    /** Returns the milliseconds until a token is available: 0 if there is one now, otherwise at least 1. */
    public synchronized long millisUntilAvailable() {
        refill();
        return tokens >= 1 ? 0 : Math.max(1, (long) Math.ceil((1 - tokens) / ratePerSecond * 1_000));
    }

    private void refill() {
        long now = time.nanoTime();
        tokens = Math.min(burst, tokens + (now - lastRefillNanos) / NANOS_PER_SECOND * ratePerSecond);
        lastRefillNanos = now;
    }
}
