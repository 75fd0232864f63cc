package org.berylwick.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.VersionId;

/** Reads whole versions for one command, each part from the store at most once; for one thread. */
public final class VersionReader {
    private final VersionRepository repository;
    private final Map<Digest, byte[]> known;
    private final Deadline deadline;

    /**
     * A reader for one command.
     *
     * @param known parts that need not be read from the store
     */
    public VersionReader(VersionRepository repository, Map<Digest, byte[]> known, Deadline deadline) {
        this.repository = repository;
        this.known = new HashMap<>(known);
        this.deadline = deadline;
    }

    /** What reading by number gave. */
    public sealed interface Read {
        /** The whole version. */
        record Found(Snapshot snapshot) implements Read {}

        /** No version with that number is kept; {@code newest} is the number of the accepted one. */
        record Absent(long newest) implements Read {}
    }

    /** Reads which version is accepted. */
    public Result<AcceptedHead, VersionError> readHead() {
        return repository.readHead(deadline);
    }

    /**
     * A whole version in both its forms.
     *
     * @param content as stored
     * @param snapshot as used
     */
    public record Whole(VersionContent content, Snapshot snapshot) {}

    /** Reads the version that {@code head} names. */
    public Result<Whole, VersionError> readCurrent(AcceptedHead head) {
        return readWhole(head.id());
    }

    /** Reads a version by its number, 0 for the one that {@code head} names. */
    public Result<Read, VersionError> read(AcceptedHead head, long number) {
        if (number == 0) {
            return readCurrent(head).map(w -> new Read.Found(w.snapshot()));
        }
        return repository
                .find(head, number, deadline)
                .flatMap(id -> id.isEmpty()
                        ? Result.ok(new Read.Absent(head.id().number()))
                        : readWhole(id.get()).map(w -> new Read.Found(w.snapshot())));
    }

    private Result<Whole, VersionError> readWhole(VersionId id) {
        if (id.number() == 0) {
            return Result.ok(new Whole(VersionContent.NONE, Snapshot.NONE));
        }
        return repository.read(id, known, deadline).flatMap(content -> {
            known.putAll(content.parts());
            return content.toSnapshot()
                    .map(snapshot -> new Whole(content, snapshot))
                    .mapError(VersionError.Damaged::new);
        });
    }
}
