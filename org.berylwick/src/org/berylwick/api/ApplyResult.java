package org.berylwick.api;

import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.VersionId;

/** What became of a change. */
public sealed interface ApplyResult {
    /**
     * It is accepted and will be in force everywhere.
     *
     * @param version the version that holds it
     * @param changes against the version before; empty for a repeat whose entry could not be read
     * @param repeatedOperation whether an earlier call with the same operation id had been accepted already
     */
    record Accepted(VersionId version, List<ObjectChange> changes, boolean repeatedOperation) implements ApplyResult {}

    /**
     * What is accepted already says what was asked for; no version was made.
     *
     * @param current the version accepted now
     */
    record Unchanged(VersionId current) implements ApplyResult {}

    /** It would be accepted; nothing was written, since only a dry run was asked for. */
    record DryRun(VersionId base, List<ObjectChange> changes) implements ApplyResult {}

    /**
     * Others changed the same objects since the base version; nothing changed.
     *
     * @param current the version accepted now
     * @param objects changed both there and here
     */
    record Conflict(VersionId current, List<ObjectRef> objects) implements ApplyResult {}

    /** The result would break rules; nothing changed. */
    record Rejected(List<Fault> faults) implements ApplyResult {}

    /** The store is out or over its rate; nothing changed. */
    record Unavailable(String detail, long retryAfterMillis) implements ApplyResult {}

    /** Not known whether accepted; asking again with the same operation id settles it. */
    record Undecided(String operationId, String detail) implements ApplyResult {}
}
