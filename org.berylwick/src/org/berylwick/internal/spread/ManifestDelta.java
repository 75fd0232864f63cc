package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.berylwick.internal.version.Manifest;
import org.berylwick.lib.AuditEntry;

/**
 * Difference between a base manifest and a later target manifest.
 *
 * @param number version number of the target
 * @param previousDigest {@code previousDigest} of the target
 * @param ancestors ancestors of the target, without those copied from the base
 * @param inherited number of leading ancestors of the base that follow {@code ancestors} in the target
 * @param audit audit entry of the target
 * @param set added and changed parts: hexadecimal digest by object reference
 * @param removed object references that are in the base but not in the target
 */
record ManifestDelta(
        long number,
        String previousDigest,
        List<String> ancestors,
        int inherited,
        AuditEntry audit,
        SortedMap<String, String> set,
        List<String> removed) {
    /** Computes the delta that turns {@code base} into {@code target}. */
    static ManifestDelta between(Manifest base, Manifest target) {
        SortedMap<String, String> set = new TreeMap<>();
        for (Map.Entry<String, String> part : target.parts().entrySet()) {
            if (!part.getValue().equals(base.parts().get(part.getKey()))) {
                set.put(part.getKey(), part.getValue());
            }
        }
        List<String> removed = base.parts().keySet().stream()
                .filter(k -> !target.parts().containsKey(k))
                .toList();
        int inherited = countInherited(base, target);
        List<String> ancestors =
                target.ancestors().subList(0, target.ancestors().size() - inherited);
        return new ManifestDelta(
                target.number(), target.previousDigest(), ancestors, inherited, target.audit(), set, removed);
    }

    private static int countInherited(Manifest base, Manifest target) {
        long versionsAhead = target.number() - base.number();
        int overlap = (int) Math.max(0, target.ancestors().size() - versionsAhead);
        boolean shared = overlap <= base.ancestors().size()
                && target.ancestors()
                        .subList(
                                target.ancestors().size() - overlap,
                                target.ancestors().size())
                        .equals(base.ancestors().subList(0, overlap));
        return shared ? overlap : 0;
    }

    /** Reconstructs the target manifest from the base manifest. */
    Manifest applyTo(Manifest base) {
        SortedMap<String, String> parts = new TreeMap<>(base.parts());
        removed.forEach(parts::remove);
        parts.putAll(set);
        List<String> allAncestors = new ArrayList<>(ancestors);
        base.ancestors().stream().limit(inherited).forEach(allAncestors::add);
        return new Manifest(number, previousDigest, allAncestors, audit, parts);
    }
}
