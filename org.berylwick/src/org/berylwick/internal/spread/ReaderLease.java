package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.List;

/**
 * Who watches the platform's store for one availability zone; kept as one object there.
 *
 * <p>The lease bounds how many daemons spend the store's calls and gives no authority over contents: a holder that was
 * paused past its lease reads what everybody may read. Clocks that differ lead to a reader more or fewer for a while,
 * and to nothing else.
 *
 * @param holders in the order in which they took their places
 */
public record ReaderLease(List<Holder> holders) {
    /** Nobody. */
    public static final ReaderLease EMPTY = new ReaderLease(List.of());

    /**
     * One reader.
     *
     * @param instance the daemon's
     * @param untilEpochMillis when its place is free again unless renewed
     */
    public record Holder(String instance, long untilEpochMillis) {}

    /** What a daemon that looked at the lease does. */
    public sealed interface Decision {
        /**
         * Write {@code next} if the object has not changed; on success the daemon reads, from place {@code slot} on.
         */
        record Write(ReaderLease next, int slot) implements Decision {}

        /** All places are taken. */
        record Full() implements Decision {}
    }

    /** Copies the list. */
    public ReaderLease {
        holders = List.copyOf(holders);
    }

    /**
     * What {@code instance} does, seeing this lease.
     *
     * @param maxReaders most readers of the zone
     * @param expiresAtEpochMillis when its own hold would lapse
     */
    public Decision acquireOrRenew(String instance, long nowEpochMillis, int maxReaders, long expiresAtEpochMillis) {
        List<Holder> next = new ArrayList<>();
        boolean held = false;
        for (Holder holder : holders) {
            if (holder.instance().equals(instance) && !held) {
                next.add(new Holder(instance, expiresAtEpochMillis));
                held = true;
            } else if (holder.untilEpochMillis() > nowEpochMillis) {
                next.add(holder);
            }
        }
        if (!held) {
            next.add(new Holder(instance, expiresAtEpochMillis));
        }
        int slot = slotOf(next, instance);
        return slot < maxReaders
                ? new Decision.Write(new ReaderLease(next.subList(0, Math.min(next.size(), maxReaders))), slot)
                : new Decision.Full();
    }

    /** This lease without {@code instance}. */
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
