package org.berylwick.lib;

import java.util.List;

/**
 * How one declared object differs between two versions.
 *
 * @param kind what happened to it
 * @param object which one
 * @param brands names of the brands whose traffic it reaches, sorted
 */
public record ObjectChange(Kind kind, ObjectRef object, List<String> brands) {
    /** What happened. */
    public enum Kind {
        /** Only the newer version has it. */
        ADDED,
        /** Both have it, with other content. */
        CHANGED,
        /** Only the older version has it. */
        REMOVED
    }

    /** Copies the list. */
    public ObjectChange {
        brands = List.copyOf(brands);
    }
}
