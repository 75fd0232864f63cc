package org.berylwick.lib;

import java.util.List;

/**
 * How one declared object differs between two versions.
 *
 * @param kind what happened to it
 * @param object which one
 * @param brands names of the brands whose traffic it reaches, sorted; the first of them alone in an audit entry
 * @param brandCount how many brands it reaches
 */
public record ObjectChange(Kind kind, ObjectRef object, List<String> brands, int brandCount) {
    /** Brands named in an audit entry; each change of what all brands share would otherwise carry all their names. */
    public static final int AUDITED_BRANDS = 16;

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

    /** A change with all its brands. */
    public ObjectChange(Kind kind, ObjectRef object, List<String> brands) {
        this(kind, object, brands, brands.size());
    }

    /** The change as an audit entry keeps it: with {@link #AUDITED_BRANDS} brands at most. */
    public ObjectChange abridged() {
        return brands.size() <= AUDITED_BRANDS
                ? this
                : new ObjectChange(kind, object, brands.subList(0, AUDITED_BRANDS), brandCount);
    }
}
