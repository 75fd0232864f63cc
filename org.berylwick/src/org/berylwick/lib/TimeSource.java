package org.berylwick.lib;

/** The clocks that decisions read, so that tests can hold time still. */
public interface TimeSource {
    /** The clocks of this machine. */
    TimeSource SYSTEM = new TimeSource() {
        @Override
        public long nanoTime() {
            return System.nanoTime();
        }

        @Override
        public long epochMillis() {
            return System.currentTimeMillis();
        }
    };

    /** @return monotonic nanoseconds with an arbitrary origin; compare by difference only */
    long nanoTime();

    /** @return wall-clock milliseconds since the epoch; for display and for leases kept in the store */
    long epochMillis();
}
