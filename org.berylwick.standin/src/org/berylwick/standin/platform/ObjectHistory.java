package org.berylwick.standin.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.StoredObject;

/** The last few versions of each object, to serve reads as a replica that lags would; any thread may use it. */
final class ObjectHistory {
    private static final int KEPT_VERSIONS = 16;

    private final TreeMap<String, Deque<StoredObject>> versions = new TreeMap<>();

    /** Notes a write or a deletion. */
    synchronized void add(StoredObject object) {
        Deque<StoredObject> kept = versions.computeIfAbsent(object.key().path(), k -> new ArrayDeque<>());
        if (!kept.isEmpty() && kept.getLast().version() >= object.version()) {
            return;
        }
        kept.addLast(object);
        if (kept.size() > KEPT_VERSIONS) {
            kept.removeFirst();
        }
    }

    /** The object as it was at {@code revision}. */
    synchronized Optional<StoredObject> get(ObjectKey key, long revision) {
        return asOf(versions.getOrDefault(key.path(), new ArrayDeque<>()), revision);
    }

    /** All objects under {@code prefix} as they were at {@code revision}. */
    synchronized List<StoredObject> list(String prefix, long revision) {
        List<StoredObject> found = new ArrayList<>();
        for (Deque<StoredObject> kept :
                versions.subMap(prefix, prefix + Character.MAX_VALUE).values()) {
            asOf(kept, revision).ifPresent(found::add);
        }
        return found;
    }

    /** The version that an object had {@code back} writes ago, or its oldest known. */
    synchronized Optional<Long> versionBefore(String key, int back) {
        Deque<StoredObject> kept = versions.get(key);
        if (kept == null) {
            return Optional.empty();
        }
        Iterator<StoredObject> newestFirst = kept.descendingIterator();
        long version = newestFirst.next().version();
        for (int i = 0; i < back && newestFirst.hasNext(); i++) {
            version = newestFirst.next().version();
        }
        return Optional.of(version);
    }

    private static Optional<StoredObject> asOf(Deque<StoredObject> kept, long revision) {
        Iterator<StoredObject> newestFirst = kept.descendingIterator();
        while (newestFirst.hasNext()) {
            StoredObject o = newestFirst.next();
            if (o.version() <= revision) {
                return o.deleted() ? Optional.empty() : Optional.of(o);
            }
        }
        return Optional.empty();
    }
}
