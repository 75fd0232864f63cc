package org.berylwick.node.call;

import java.util.LinkedHashMap;
import java.util.Map;
import org.berylwick.node.lib.Incarnation;

/** The latest start of each id that was reported ready, which is the one that a deregistration of the id means. */
final class ReportedStarts {
    private static final int MAX_SIZE = 64;

    private final Map<String, Long> latestById = new LinkedHashMap<>();

    void onReady(Incarnation incarnation) {
        if (!incarnation.hasBorn()) {
            return;
        }
        // Removed first, so that an id that restarts is not the oldest entry.
        Long earlier = latestById.remove(incarnation.id());
        latestById.put(incarnation.id(), earlier == null ? incarnation.born() : Math.max(earlier, incarnation.born()));
        if (latestById.size() > MAX_SIZE) {
            latestById.remove(latestById.keySet().iterator().next());
        }
    }

    /** Returns the latest start of an id that was reported ready, of unknown time if none was. */
    Incarnation latestOf(String id) {
        return new Incarnation(id, latestById.getOrDefault(id, Incarnation.UNKNOWN));
    }
}
