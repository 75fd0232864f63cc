package org.berylwick.internal.spread;

import org.berylwick.lib.TimeSource;

/**
 * When some reader of the fleet last heard from the platform's store, as far as this daemon knows.
 *
 * <p>Ages travel with heartbeats, never clock readings, so clocks need not agree. A daemon steps in as a reader when
 * the age shows that no reader is left, instead of asking the store who reads. Any thread may use it.
 */
public final class StoreFreshness {
    private final TimeSource time;
    private long lastContactNanos;

    /** As if heard from just now, so that a fresh daemon waits before it steps in. */
    public StoreFreshness(TimeSource time) {
        this.time = time;
        this.lastContactNanos = time.nanoTime();
    }

    /** This daemon itself was answered by the store. */
    public synchronized void recordLocalContact() {
        lastContactNanos = time.nanoTime();
    }

    /** A peer told how long ago some reader was answered. */
    public synchronized void recordPeerContact(long ageMillis) {
        long contactNanos = time.nanoTime() - ageMillis * 1_000_000L;
        if (contactNanos - lastContactNanos > 0) {
            lastContactNanos = contactNanos;
        }
    }

    /** @return milliseconds since any reader was answered */
    public synchronized long ageMillis() {
        return (time.nanoTime() - lastContactNanos) / 1_000_000L;
    }
}
