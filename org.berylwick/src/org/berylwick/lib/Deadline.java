package org.berylwick.lib;

import java.time.Duration;

/**
 * A point on the monotonic clock by which something must be done.
 *
 * <p>Deadlines never cross a process boundary: the wire carries what remains, and the receiver adds it to its own
 * clock.
 *
 * @param atNanos a reading of {@link TimeSource#nanoTime()}
 */
public record Deadline(long atNanos) {
    /** The deadline {@code duration} from now. */
    public static Deadline after(TimeSource time, Duration duration) {
        return new Deadline(time.nanoTime() + duration.toNanos());
    }

    /** The deadline {@code millis} milliseconds from now. */
    public static Deadline afterMillis(TimeSource time, long millis) {
        return new Deadline(time.nanoTime() + millis * 1_000_000L);
    }

    /** @return nanoseconds left, zero or negative once passed */
    public long remainingNanos(TimeSource time) {
        return atNanos - time.nanoTime();
    }

    /** @return whole milliseconds left, never negative */
    public long remainingMillis(TimeSource time) {
        return Math.max(0, remainingNanos(time) / 1_000_000L);
    }

    /** Tells whether the deadline has passed. */
    public boolean isPast(TimeSource time) {
        return remainingNanos(time) <= 0;
    }

    /** The earlier of two deadlines. */
    public Deadline earlier(Deadline other) {
        return atNanos - other.atNanos <= 0 ? this : other;
    }
}
