package org.berylwick.node.call;

/**
 * How many times as long as usual work takes at a backend server at a moment.
 *
 * <p>What slows a server down lasts for fractions of a second. The expected slowdown therefore approaches the usual one
 * with time, so that an old figure has no effect.
 *
 * @param factor multiple of the usual time; 1 if no figure is known
 * @param stated whether the backend server states its speed
 */
public record Slowdown(double factor, boolean stated) {
    /** Work takes as long as usual, for all that is known. */
    static final Slowdown NONE = new Slowdown(1, false);

    /** Time in which the expected difference from the usual speed falls to a third. */
    private static final double DECAY_NANOS = 300e6;

    private static final double PER_CENT = 100;

    /** Returns the slowdown that a percentage states, none for 0. */
    static Slowdown ofPercent(int percent) {
        return percent <= 0 ? NONE : new Slowdown(percent / PER_CENT, true);
    }

    /** Returns the percentage, at least 1. */
    int percent() {
        return (int) Math.max(1, Math.round(factor * PER_CENT));
    }

    /** Returns the slowdown that is expected after a time. */
    Slowdown after(long nanos) {
        return factor == 1
                ? this
                : new Slowdown(1 + (factor - 1) * Math.exp(-Math.max(0, nanos) / DECAY_NANOS), stated);
    }

    /** Returns how long work is expected to take that starts now and usually takes a given time. */
    long expectedNanos(long usualNanos) {
        if (factor == 1 || usualNanos <= 0) {
            return usualNanos;
        }
        double lengths = usualNanos / DECAY_NANOS;
        double meanExcess = (factor - 1) * (1 - Math.exp(-lengths)) / lengths;
        return (long) (usualNanos * (1 + meanExcess));
    }
}
