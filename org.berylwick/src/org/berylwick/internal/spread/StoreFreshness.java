package org.berylwick.internal.spread;

import org.berylwick.lib.TimeSource;

/**
 * Tracks when any daemon of the fleet last received a response from the platform's store, as far as this daemon knows.
 *
 * <p>Heartbeats carry ages instead of timestamps, so clocks need not be synchronized. A daemon tries to become a reader
 * when the age indicates that no reader is left, so it need not ask the store who the readers are. Thread-safe.
 */
public final class StoreFreshness {
    private final TimeSource time;
    private long lastContactNanos;

    /** Starts with an age of zero, so that a newly started daemon waits before it tries to become a reader. */
    public StoreFreshness(TimeSource time) {
        this.time = time;
        this.lastContactNanos = time.nanoTime();
    }

    /** Records that this daemon received a response from the store. */
    public synchronized void recordLocalContact() {
        lastContactNanos = time.nanoTime();
    }

    /** Records the age that a peer reported; an age that implies an earlier contact than the known one is ignored. */
    public synchronized void recordPeerContact(long ageMillis) {
        long contactNanos = time.nanoTime() - ageMillis * 1_000_000L;
        if (contactNanos - lastContactNanos > 0) {
            lastContactNanos = contactNanos;
        }
    }

    /** Returns the milliseconds since the latest known response of the store. */
    public synchronized long ageMillis() {
        return (time.nanoTime() - lastContactNanos) / 1_000_000L;
    }
}
