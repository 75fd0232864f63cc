package org.berylwick.node.log;

/** Admits so many lines in each second and counts the others. */
final class LineRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int maxLinesPerSecond;
    private long secondStart = Long.MIN_VALUE;
    private int admitted;
    private int suppressed;

    LineRateLimiter(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** How many lines were left out before this one, or -1 if this one is left out too. */
    synchronized int admit(long now) {
        if (secondStart == Long.MIN_VALUE || now - secondStart >= SECOND_NANOS) {
            secondStart = now;
            admitted = 0;
        }
        if (admitted >= maxLinesPerSecond) {
            suppressed++;
            return -1;
        }
        admitted++;
        int suppressedBefore = suppressed;
        suppressed = 0;
        return suppressedBefore;
    }
}
