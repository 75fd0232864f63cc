package org.berylwick.transport;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param revision where to go on watching from
 * @param changed the latest state of each object that changed, oldest change first; empty if the wait ran out
 */
public record WatchBatch(long revision, List<StoredObject> changed) {
    /** Copies the list. */
    public WatchBatch {
        changed = List.copyOf(changed);
    }
}
