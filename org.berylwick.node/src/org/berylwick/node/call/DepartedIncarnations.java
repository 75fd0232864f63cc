package org.berylwick.node.call;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.berylwick.node.lib.Incarnation;

/**
 * The latest incarnations that have left, so that a delayed heartbeat does not register one of them again. A leave
 * covers all earlier starts under the same id, and no later one.
 */
final class DepartedIncarnations {
    private static final int MAX_SIZE = 64;

    private final LongSupplier unixMillis;
    /** The time of the latest start that is covered, by id. */
    private final Map<String, Long> latestById = new LinkedHashMap<>();
    /** When the leave of a start of unknown time was announced, by id. */
    private final Map<String, Long> undatedLeftAt = new LinkedHashMap<>();

    /** @param unixMillis the clock of this VM, which backend servers state their start in */
    DepartedIncarnations(LongSupplier unixMillis) {
        this.unixMillis = unixMillis;
    }

    /** Adds an incarnation; returns false if it was covered already. */
    boolean add(Incarnation incarnation) {
        if (contains(incarnation)) {
            return false;
        }
        put(latestById, incarnation.id(), incarnation.born());
        return true;
    }

    /** Stores that the leave of an incarnation is being announced; one of unknown start covers those up to now. */
    void onAnnounced(Incarnation incarnation) {
        if (!incarnation.hasBorn()) {
            put(undatedLeftAt, incarnation.id(), unixMillis.getAsLong());
        }
    }

    private static void put(Map<String, Long> byId, String id, long millis) {
        // Removed first, so that an id that restarts is not the oldest entry.
        byId.remove(id);
        byId.put(id, millis);
        if (byId.size() > MAX_SIZE) {
            byId.remove(byId.keySet().iterator().next());
        }
    }

    /** Whether an incarnation has left, which is so for one of unknown start if any of its id has. */
    boolean contains(Incarnation incarnation) {
        Long latest = latestById.get(incarnation.id());
        return latest != null && incarnation.born() <= latest;
    }

    /** Whether an incarnation started before its id was announced to leave while no start of the id was known. */
    boolean startedBeforeUndatedLeave(Incarnation incarnation) {
        return incarnation.hasBorn()
                && incarnation.born() <= undatedLeftAt.getOrDefault(incarnation.id(), Incarnation.UNKNOWN);
    }
}
