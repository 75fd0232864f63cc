package org.berylwick.internal.version;

import java.util.Optional;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/** Tells from the store's history whether one version follows another, for a daemon that missed many versions. */
public final class StoreLineage {
    private static final long READ_MILLIS = 2_000;

    private final VersionRepository repository;
    private final TimeSource time;

    /** Reads from {@code repository}. */
    public StoreLineage(VersionRepository repository, TimeSource time) {
        this.repository = repository;
        this.time = time;
    }

    /** Whether {@code newer} follows {@code older}; empty if the store did not tell. */
    public Optional<Boolean> follows(VersionId newer, VersionId older) {
        Deadline deadline = Deadline.afterMillis(time, READ_MILLIS);
        Result<Boolean, VersionError> both = repository
                .readHead(deadline)
                .flatMap(head -> holds(head, newer, deadline)
                        .flatMap(holdsNewer ->
                                holdsNewer ? holds(head, older, deadline) : Result.err(notThere(newer, head))));
        return both instanceof Result.Ok<Boolean, VersionError>(Boolean follows)
                ? Optional.of(follows)
                : Optional.empty();
    }

    private static VersionError notThere(VersionId id, AcceptedHead head) {
        return new VersionError.Damaged("the history of " + head.id() + " lacks " + id);
    }

    private Result<Boolean, VersionError> holds(AcceptedHead head, VersionId id, Deadline deadline) {
        return repository.find(head, id.number(), deadline).map(Optional.of(id)::equals);
    }
}
