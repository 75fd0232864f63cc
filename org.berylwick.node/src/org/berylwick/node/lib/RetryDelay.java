package org.berylwick.node.lib;

import java.util.concurrent.ThreadLocalRandom;

/** Delay before a failed call is repeated: it doubles with each failure in succession, and is drawn from its double. */
public final class RetryDelay {
    private final long initialMillis;
    private final long maxMillis;
    private long nextMillis;

    /**
     * @param initialMillis delay after the first failure, at least
     * @param maxMillis largest delay before it is drawn
     */
    public RetryDelay(long initialMillis, long maxMillis) {
        this.initialMillis = initialMillis;
        this.maxMillis = maxMillis;
        this.nextMillis = initialMillis;
    }

    /** Returns the delay after another failure in milliseconds. */
    public long next() {
        long millis = nextMillis + ThreadLocalRandom.current().nextLong(nextMillis);
        nextMillis = Math.min(maxMillis, nextMillis * 2);
        return millis;
    }

    /** Begins anew after a success. */
    public void reset() {
        nextMillis = initialMillis;
    }
}
