package org.berylwick.node.call;

/**
 * The speed of an incarnation of the backend server, from the figures that it states in its responses; confined to the
 * event loop. Without figures, it is as usual.
 */
final class CurrentSpeed {
    /** The speed of a backend server that has stated no figure; never changed. */
    static final CurrentSpeed NOT_STATED = new CurrentSpeed();

    /** Weight of the past in the mean of the figures; long compared with what slows a server down for a moment. */
    private static final double MEAN_DECAY_NANOS = 5e9;

    /**
     * Longest time for which a figure is taken to have held. After a pause in the responses, the last figure before it
     * would otherwise become the mean, and the estimates by it could refuse every request from then on.
     */
    private static final long MAX_HELD_NANOS = 300_000_000L;

    private double meanFactor = 1;
    private double latestFactor = 1;
    private long latestAt;
    private boolean stated;

    /**
     * Stores a figure.
     *
     * @param factor how many times as long as usual work takes
     * @param now current time
     */
    void onFigure(double factor, long now) {
        if (stated) {
            long heldNanos = Math.min(now - latestAt, MAX_HELD_NANOS);
            meanFactor += (1 - Math.exp(-heldNanos / MEAN_DECAY_NANOS)) * (latestFactor - meanFactor);
        }
        stated = true;
        latestFactor = factor;
        latestAt = now;
    }

    /** Whether the backend server has stated a figure. */
    boolean isStated() {
        return stated;
    }

    /** The mean of the figures. */
    double meanFactor() {
        return meanFactor;
    }

    /** Returns how many times as long as in the mean work takes at a time. */
    Slowdown slowdownAt(long time) {
        return stated ? new Slowdown(latestFactor / meanFactor, true).after(time - latestAt) : Slowdown.NONE;
    }

    /** Returns the same in percent, 0 if the backend server has not stated a figure. */
    int statedPercentAt(long time) {
        return stated ? slowdownAt(time).percent() : 0;
    }

    /** Returns how many times as long as the backend server calls usual work takes at a time. */
    double factorAt(long time) {
        return stated ? meanFactor * slowdownAt(time).factor() : 1;
    }
}
