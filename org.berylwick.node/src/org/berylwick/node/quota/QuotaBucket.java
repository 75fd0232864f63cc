package org.berylwick.node.quota;

/** Token bucket of one limit, as a GCRA: its level follows from the time at which it was last empty. */
final class QuotaBucket {
    /**
     * Least capacity in seconds of the rate. Permits that become available while questions are on their way would be
     * lost without it if the burst is 0.
     */
    private static final double MIN_CAPACITY_S = 0.1;

    /** Least capacity in permits; with one, requests at intervals that vary are refused at two thirds of the rate. */
    private static final double MIN_CAPACITY = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerNano;
    private double capacity;
    private double emptyAt;

    /**
     * @param ratePerSecond permits per second, positive
     * @param burst permits that the bucket holds
     * @param emptyAt time at which the bucket is empty; it fills from then on
     */
    QuotaBucket(double ratePerSecond, double burst, long emptyAt) {
        this.ratePerNano = ratePerSecond / NANOS_PER_SECOND;
        this.capacity = capacityOf(ratePerSecond, burst);
        this.emptyAt = emptyAt;
    }

    private static double capacityOf(double ratePerSecond, double burst) {
        return Math.max(Math.max(MIN_CAPACITY, burst), ratePerSecond * MIN_CAPACITY_S);
    }

    /** Changes the limit; the level remains, up to the new capacity. */
    void setLimit(double ratePerSecond, double burst, long now) {
        double newRate = ratePerSecond / NANOS_PER_SECOND;
        double newCapacity = capacityOf(ratePerSecond, burst);
        if (newRate == ratePerNano && newCapacity == capacity) {
            return;
        }
        double level = level(now);
        ratePerNano = newRate;
        capacity = newCapacity;
        setLevel(Math.min(level, newCapacity), now);
    }

    /** Returns the number of permits in the bucket; negative if it starts to fill later. */
    double level(long now) {
        return Math.min(capacity, (now - emptyAt) * ratePerNano);
    }

    private void setLevel(double level, long now) {
        emptyAt = now - level / ratePerNano;
    }

    /** Takes as many whole permits as are there, up to a number. */
    int take(int wanted, long now) {
        double level = level(now);
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(level + 1e-6)));
        if (taken > 0) {
            setLevel(level - taken, now);
        }
        return taken;
    }

    /** Puts permits back that were not used. */
    void putBack(int count, long now) {
        setLevel(Math.min(capacity, level(now) + count), now);
    }

    /** Returns the time until the bucket holds a whole permit, 0 if it does. */
    long untilOneNanos(long now) {
        return (long) Math.max(0, Math.ceil((1 - level(now)) / ratePerNano));
    }

    /** Returns the time in which the empty bucket becomes full. */
    long fillNanos() {
        return (long) (capacity / ratePerNano);
    }

    boolean isFull(long now) {
        return level(now) >= capacity;
    }
}
