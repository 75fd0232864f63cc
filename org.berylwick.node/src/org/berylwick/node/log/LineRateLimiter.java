package org.berylwick.node.log;

/** Admits a maximum number of log lines per second and counts the suppressed ones. */
final class LineRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int maxLinesPerSecond;
    private long secondStart = Long.MIN_VALUE;
    private int admittedInSecond;
    private int suppressed;

    LineRateLimiter(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /**
     * Decides whether a line is written.
     *
     * @param now current time on the clock of {@link System#nanoTime}
     * @return the number of lines suppressed since the last admitted one, or -1 if this line is suppressed, too
     */
    synchronized int admit(long now) {
        if (secondStart == Long.MIN_VALUE || now - secondStart >= SECOND_NANOS) {
            secondStart = now;
            admittedInSecond = 0;
        }
        if (admittedInSecond >= maxLinesPerSecond) {
            suppressed++;
            return -1;
        }
        admittedInSecond++;
        int suppressedBefore = suppressed;
        suppressed = 0;
        return suppressedBefore;
    }
}
