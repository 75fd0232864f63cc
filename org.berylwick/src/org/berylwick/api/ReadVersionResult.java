package org.berylwick.api;

import org.berylwick.lib.Snapshot;

/** What reading a version gave. */
public sealed interface ReadVersionResult {
    /** The version, whole; {@link Snapshot#NONE} if none is accepted yet and the current one was asked for. */
    record Found(Snapshot snapshot) implements ReadVersionResult {}

    /**
     * No version with that number is kept.
     *
     * @param asked the number asked for
     * @param newest the number of the version accepted now
     */
    record NoSuchVersion(long asked, long newest) implements ReadVersionResult {}

    /** The store gave no answer, or none that can be read. */
    record Unavailable(String detail, long retryAfterMillis) implements ReadVersionResult {}
}
