package org.berylwick.lib;

import java.util.Locale;

/**
 * Names one declared object.
 *
 * @param kind what it is
 * @param name unique among objects of the kind
 */
public record ObjectRef(Kind kind, String name) implements Comparable<ObjectRef> {
    /** The kinds of declared objects. */
    public enum Kind {
        /** See {@link Brand}. */
        BRAND,
        /** See {@link Policy}. */
        POLICY,
        /** See {@link Route}. */
        ROUTE,
        /** See {@link ServiceSpec}. */
        SERVICE;

        /** The word used in declarations and in the store. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Reads {@code kind/name}.
     *
     * @throws IllegalArgumentException if there is no slash or no such kind
     */
    public static ObjectRef fromString(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("not kind/name: " + text);
        }
        return new ObjectRef(
                Kind.valueOf(text.substring(0, slash).toUpperCase(Locale.ROOT)), text.substring(slash + 1));
    }

    @Override
    public int compareTo(ObjectRef other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.word() + "/" + name;
    }
}
