package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Lease that names the daemons which watch the platform's store on behalf of one availability zone. It is stored as one
 * object in that store.
 *
 * <p>The lease only limits how many daemons call the store; it grants no exclusive access. A holder that was paused
 * past the expiry of its lease merely reads what every daemon may read. Clock skew can cause one reader too many or too
 * few for a while, and has no other effect.
 *
 * @param holders holders of reader slots, in the order in which they acquired them
 */
public record ReaderLease(List<Holder> holders) {
    /** Lease without holders. */
    public static final ReaderLease EMPTY = new ReaderLease(List.of());

    /**
     * Holder of one reader slot.
     *
     * @param instance instance name of the daemon
     * @param untilEpochMillis when the slot expires unless renewed
     */
    public record Holder(String instance, long untilEpochMillis) {
        public Holder {
            Objects.requireNonNull(instance, "instance");
        }
    }

    /** Outcome of an attempt to acquire or renew a slot. */
    public sealed interface Decision {
        /**
         * The daemon must write {@code next} on condition that the stored lease has not changed; if the write succeeds,
         * it holds the slot.
         *
         * @param next lease to write
         * @param slot zero-based index of the slot
         */
        record Write(ReaderLease next, int slot) implements Decision {}

        /** All slots are held by other daemons. */
        record Full() implements Decision {}
    }

    /** Makes a defensive copy of {@code holders}. */
    public ReaderLease {
        holders = List.copyOf(holders);
    }

    /**
     * Decides how {@code instance} acquires a slot, or renews the one it holds.
     *
     * <p>Slots of other holders are freed if they have expired, or expire later than clocks that differ by the length
     * of a lease could explain.
     *
     * @param instance instance name of the daemon
     * @param nowEpochMillis current time
     * @param maxReaders maximum number of readers in the zone
     * @param expiresAtEpochMillis expiry of the slot that {@code instance} acquires or renews
     */
    public Decision acquireOrRenew(String instance, long nowEpochMillis, int maxReaders, long expiresAtEpochMillis) {
        long latestExpiry = expiresAtEpochMillis + (expiresAtEpochMillis - nowEpochMillis);
        List<Holder> next = new ArrayList<>();
        boolean renewed = false;
        for (Holder holder : holders) {
            if (holder.instance().equals(instance) && !renewed) {
                next.add(new Holder(instance, expiresAtEpochMillis));
                renewed = true;
            } else if (holder.untilEpochMillis() > nowEpochMillis && holder.untilEpochMillis() <= latestExpiry) {
                next.add(holder);
            }
        }
        if (!renewed) {
            next.add(new Holder(instance, expiresAtEpochMillis));
        }
        int slot = slotOf(next, instance);
        return slot < maxReaders
                ? new Decision.Write(new ReaderLease(next.subList(0, Math.min(next.size(), maxReaders))), slot)
                : new Decision.Full();
    }

    /** Returns this lease without the slot of {@code instance}. */
    public ReaderLease without(String instance) {
        return new ReaderLease(
                holders.stream().filter(h -> !h.instance().equals(instance)).toList());
    }

    private static int slotOf(List<Holder> holders, String instance) {
        for (int i = 0; i < holders.size(); i++) {
            if (holders.get(i).instance().equals(instance)) {
                return i;
            }
        }
        return holders.size();
    }
}
