package org.berylwick.node.call;

import java.util.LinkedHashSet;
import java.util.Set;

/** The latest incarnations that have left, so that a delayed heartbeat does not register one of them again. */
final class DepartedIncarnations {
    private static final int MAX_SIZE = 64;

    private final Set<String> incarnations = new LinkedHashSet<>();

    /** Adds an incarnation; returns false if it was there already. */
    boolean add(String incarnation) {
        if (!incarnations.add(incarnation)) {
            return false;
        }
        if (incarnations.size() > MAX_SIZE) {
            incarnations.remove(incarnations.iterator().next());
        }
        return true;
    }

    boolean contains(String incarnation) {
        return incarnations.contains(incarnation);
    }
}
