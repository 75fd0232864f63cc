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
        latestById.merge(incarnation.id(), incarnation.born(), Math::max);
        if (latestById.size() > MAX_SIZE) {
            latestById.remove(latestById.keySet().iterator().next());
        }
    }

    /** Returns the latest start of an id that was reported ready, of unknown time if none was. */
    Incarnation latestOf(String id) {
        return new Incarnation(id, latestById.getOrDefault(id, Incarnation.UNKNOWN));
    }
}
