package org.berylwick.internal.spread;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.berylwick.internal.version.Manifest;
import org.berylwick.lib.AuditEntry;

/**
 * How one manifest differs from an earlier one.
 *
 * @param number of the later version
 * @param previousDigest of the later manifest
 * @param audit of the later version
 * @param set parts added or changed, hexadecimal digest by object reference
 * @param removed object references that the later version lacks
 */
record ManifestDelta(
        long number, String previousDigest, AuditEntry audit, SortedMap<String, String> set, List<String> removed) {
    /** The difference from {@code base} to {@code target}. */
    static ManifestDelta between(Manifest base, Manifest target) {
        SortedMap<String, String> set = new TreeMap<>();
        for (Map.Entry<String, String> e : target.parts().entrySet()) {
            if (!e.getValue().equals(base.parts().get(e.getKey()))) {
                set.put(e.getKey(), e.getValue());
            }
        }
        List<String> removed = base.parts().keySet().stream()
                .filter(k -> !target.parts().containsKey(k))
                .toList();
        return new ManifestDelta(target.number(), target.previousDigest(), target.audit(), set, removed);
    }

    /** The later manifest, given the earlier one. */
    Manifest applyTo(Manifest base) {
        SortedMap<String, String> parts = new TreeMap<>(base.parts());
        removed.forEach(parts::remove);
        parts.putAll(set);
        return new Manifest(number, previousDigest, audit, parts);
    }
}
