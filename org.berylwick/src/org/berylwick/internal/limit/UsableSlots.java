package org.berylwick.internal.limit;

import java.time.Duration;
import java.util.Optional;
import org.berylwick.lib.Deadline;

/**
 * How many of the declared slots the backend server takes at present: fewer after it shed requests.
 *
 * <p>Multiplicative decrease on a shed, additive increase with time. Not safe for use by several threads.
 */
final class UsableSlots {
    /** Sheds of one burst tell of one state of the backend server, so they lower the slots once. */
    static final Duration MIN_LOWER_INTERVAL = Duration.ofMillis(100);

    /** Each of these without a shed gives one slot back. */
    static final Duration RAISE_INTERVAL = Duration.ofMillis(250);

    private static final double DECREASE_FACTOR = 0.7;
    private static final int MINIMUM_DIVISOR = 4;

    private int declared;
    private int usable;
    private long changedAtNanos;

    UsableSlots(int declared) {
        this.declared = declared;
        usable = declared;
    }

    int declared() {
        return declared;
    }

    int usable() {
        return usable;
    }

    /** Takes over a new number of declared slots; slots lost to sheds stay lost until they are raised. */
    void setDeclared(int slots) {
        int reduction = declared - usable;
        declared = slots;
        usable = Math.max(minimum(), slots - reduction);
    }

    /** Notes a shed; tells whether the slots were lowered. */
    boolean lower(long nowNanos) {
        boolean sameBurst = usable < declared && nowNanos - changedAtNanos < MIN_LOWER_INTERVAL.toNanos();
        if (sameBurst || usable <= minimum()) {
            // At the floor a shed still puts off the next raise.
            changedAtNanos = usable < declared ? nowNanos : changedAtNanos;
            return false;
        }
        usable = Math.max(minimum(), (int) (usable * DECREASE_FACTOR));
        changedAtNanos = nowNanos;
        return true;
    }

    /** Gives back what time has earned; tells whether the slots were raised. */
    boolean raise(long nowNanos) {
        if (usable >= declared) {
            return false;
        }
        long steps = (nowNanos - changedAtNanos) / RAISE_INTERVAL.toNanos();
        if (steps <= 0) {
            return false;
        }
        usable = (int) Math.min(declared, usable + steps);
        changedAtNanos += steps * RAISE_INTERVAL.toNanos();
        return true;
    }

    /** When the next slot comes back, if one is missing. */
    Optional<Deadline> nextRaise() {
        return usable < declared
                ? Optional.of(new Deadline(changedAtNanos + RAISE_INTERVAL.toNanos()))
                : Optional.empty();
    }

    private int minimum() {
        return Math.max(1, declared / MINIMUM_DIVISOR);
    }
}
