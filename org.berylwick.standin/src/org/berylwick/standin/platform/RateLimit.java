package org.berylwick.standin.platform;

import java.util.concurrent.TimeUnit;
import org.berylwick.lib.TimeSource;

/** A token bucket that holds one second's worth of calls; any thread may use it. */
final class RateLimit {
    private final TimeSource time;
    private double perSecond;
    private double tokens;
    private long filledNanos;

    /** @param perSecond calls a second; 0 for no limit */
    RateLimit(TimeSource time, double perSecond) {
        this.time = time;
        filledNanos = time.nanoTime();
        set(perSecond);
    }

    /** Changes the rate; the bucket starts full. */
    synchronized void set(double callsPerSecond) {
        perSecond = callsPerSecond;
        tokens = callsPerSecond;
    }

    /** Takes a token if there is one. */
    synchronized boolean tryTake() {
        if (perSecond == 0) {
            return true;
        }
        long now = time.nanoTime();
        double gained = (now - filledNanos) * perSecond / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(perSecond, tokens + gained);
        filledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
