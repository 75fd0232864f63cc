package org.berylwick.node.call;

/** Estimates the fraction of recent requests that a backend server lost or rejected. Confined to the event loop. */
final class LossRate {
    /** Weight of a new request; the estimate reflects about the last ten requests. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /**
     * Time constant of the exponential decay. Without decay, a backend server that gets no requests would stay avoided.
     */
    private static final double DECAY_NANOS = 4e9;

    private double rate;
    private long updatedAt;

    void onResponse(long now) {
        update(0, now);
    }

    void onLost(long now) {
        update(1, now);
    }

    private void update(int lost, long now) {
        rate = rateAt(now);
        updatedAt = now;
        rate += SMOOTHING_FACTOR * (lost - rate);
    }

    int perMille(long now) {
        return (int) Math.round(1_000 * rateAt(now));
    }

    private double rateAt(long now) {
        return rate * Math.exp((updatedAt - now) / DECAY_NANOS);
    }
}
