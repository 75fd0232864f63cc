package org.berylwick.internal.limit;

import java.time.Duration;
import java.util.Optional;
import org.berylwick.lib.Deadline;

/**
 * Number of declared slots that may currently be used: fewer after the backend server shed requests.
 *
 * <p>Multiplicative decrease when a request is shed, additive increase with time. Not thread-safe.
 */
final class UsableSlots {
    /** Shed requests in quick succession reflect the same overload, so within this time they lower the slots once. */
    static final Duration MIN_LOWER_INTERVAL = Duration.ofMillis(100);

    /** Each such interval without a shed request restores one slot. */
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

    /** Sets the number of declared slots; a reduction caused by shed requests remains until it is raised again. */
    void setDeclared(int slots) {
        int reduction = declared - usable;
        declared = slots;
        usable = Math.max(minimum(), slots - reduction);
    }

    /** Records a shed request; returns whether the slots were lowered. */
    boolean lower(long nowNanos) {
        boolean sameBurst = usable < declared && nowNanos - changedAtNanos < MIN_LOWER_INTERVAL.toNanos();
        if (sameBurst || usable <= minimum()) {
            // At the minimum and within a burst, a shed request still postpones the next raise.
            changedAtNanos = usable < declared ? nowNanos : changedAtNanos;
            return false;
        }
        usable = Math.max(minimum(), (int) (usable * DECREASE_FACTOR));
        changedAtNanos = nowNanos;
        return true;
    }

    /** Restores one slot for each elapsed interval; returns whether the slots were raised. */
    boolean raise(long nowNanos) {
        if (usable >= declared) {
            return false;
        }
        long elapsedIntervals = (nowNanos - changedAtNanos) / RAISE_INTERVAL.toNanos();
        if (elapsedIntervals <= 0) {
            return false;
        }
        usable = (int) Math.min(declared, usable + elapsedIntervals);
        changedAtNanos += elapsedIntervals * RAISE_INTERVAL.toNanos();
        return true;
    }

    /** Time at which the next slot is restored; empty if all declared slots are usable. */
    Optional<Deadline> nextRaise() {
        return usable < declared
                ? Optional.of(new Deadline(changedAtNanos + RAISE_INTERVAL.toNanos()))
                : Optional.empty();
    }

    private int minimum() {
        return Math.max(1, declared / MINIMUM_DIVISOR);
    }
}
