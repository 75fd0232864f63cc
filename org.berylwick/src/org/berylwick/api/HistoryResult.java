package org.berylwick.api;

import java.util.List;
import java.util.Optional;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.VersionId;

/** What a look into the history found. */
public sealed interface HistoryResult {
    /**
     * One accepted version.
     *
     * @param id which version
     * @param audit who had it accepted, when and why, and what it changed
     */
    record AcceptedVersion(VersionId id, AuditEntry audit) {}

    /**
     * The versions that match, newest first.
     *
     * @param versions at most as many as the limit
     * @param more the version to name as {@code before} for the rest, empty if the history ends here
     */
    record Found(List<AcceptedVersion> versions, Optional<Long> more) implements HistoryResult {
        /** Copies the list. */
        public Found {
            versions = List.copyOf(versions);
        }
    }

    /** The store gave no answer, or none that can be read. */
    record Unavailable(String detail, long retryAfterMillis) implements HistoryResult {}
}
