package org.berylwick.internal.spread;

import org.berylwick.lib.TimeSource;

/**
 * Lets through a bounded rate with short bursts; safe for use from any thread.
 *
 * <p>Used for store calls, whose rate shrinks as the fleet grows, and for streams that a daemon admits.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final double burst;
    private double ratePerSecond;
    private double tokens;
    private long lastRefillNanos;

    /** A full bucket. */
    public TokenBucket(TimeSource time, double ratePerSecond, double burst) {
        this.time = time;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefillNanos = time.nanoTime();
    }

    /** Sets another rate; what has gathered stays. */
    public synchronized void setRate(double newRatePerSecond) {
        refill();
        ratePerSecond = newRatePerSecond;
    }

    /** Takes one token if there is one. */
    public synchronized boolean tryTake() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes {@code count} tokens for what was done already; the bucket may go below empty. */
    public synchronized void charge(long count) {
        refill();
        tokens -= count;
    }

    /** @return milliseconds until a token is there, at least 1 if there is none now */
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
