package org.berylwick.node.call;

/** Which part of its requests a backend server lost or turned away of late; confined to the event loop. */
final class LossRate {
    /** Weight of a new request; about the last ten count. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Time in which a loss loses its weight: a backend server that is passed over must be tried again. */
    private static final double DECAY_NANOS = 4e9;

    private double rate;
    private long updatedAt;

    void onAnswered(long now) {
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
