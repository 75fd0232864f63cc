package org.berylwick.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.berylwick.lib.Digest;
import org.berylwick.lib.VersionId;

/**
 * A run of accepted versions with the operations that had them accepted, oldest first.
 *
 * <p>Writers read it to recognise an operation that was accepted before and to find a version by its number without
 * reading the manifests between. Daemons never read it.
 *
 * @param older hexadecimal digest of the full segment before this one, empty for the first
 * @param entries without gaps in their numbers
 */
record HistorySegment(String older, List<Entry> entries) {
    /** The entries of a full segment: about 17 kB, written once for each change at half of that on average. */
    static final int CAPACITY = 128;

    static final HistorySegment EMPTY = new HistorySegment("", List.of());

    HistorySegment {
        entries = List.copyOf(entries);
    }

    /**
     * One accepted version.
     *
     * @param digest of its manifest, in hexadecimal
     */
    record Entry(long number, String digest, String operationId) {
        VersionId id() {
            return new VersionId(number, new Digest(digest));
        }
    }

    /** This segment with one more version, or the first of a new one if this, whose digest is given, is full. */
    HistorySegment append(String ownDigest, VersionId id, String operationId) {
        Entry entry = new Entry(id.number(), id.digest().hex(), operationId);
        if (entries.size() >= CAPACITY) {
            return new HistorySegment(ownDigest, List.of(entry));
        }
        List<Entry> longer = new ArrayList<>(entries);
        longer.add(entry);
        return new HistorySegment(older, longer);
    }

    Optional<Entry> ofOperation(String operationId) {
        return entries.stream().filter(e -> e.operationId().equals(operationId)).findFirst();
    }

    Optional<Entry> ofNumber(long number) {
        return entries.stream().filter(e -> e.number() == number).findFirst();
    }
}
