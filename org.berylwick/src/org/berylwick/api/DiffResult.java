package org.berylwick.api;

import java.util.List;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.VersionId;

/** How two versions differ. */
public sealed interface DiffResult {
    /**
     * Both versions were read.
     *
     * @param changes from the older to the newer, sorted by kind and name; empty if nothing differs
     */
    record Difference(VersionId older, VersionId newer, List<ObjectChange> changes) implements DiffResult {}

    /**
     * No version with that number is kept.
     *
     * @param asked the number asked for
     * @param newest the number of the version accepted now
     */
    record NoSuchVersion(long asked, long newest) implements DiffResult {}

    /** The store gave no answer, or none that can be read. */
    record Unavailable(String detail, long retryAfterMillis) implements DiffResult {}
}
