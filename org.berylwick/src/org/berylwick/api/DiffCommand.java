package org.berylwick.api;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.version.VersionReader;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;

/** Compares two accepted versions object by object. */
public final class DiffCommand {
    private final VersionRepository repository;
    private final Map<Digest, byte[]> known = new HashMap<>();
    private long older;
    private long newer;
    private Deadline deadline;

    /** A command on {@code repository}; must be given a deadline before {@link #call()}. */
    public DiffCommand(VersionRepository repository) {
        this.repository = repository;
    }

    /** The version to compare from; 0, the default, for the one accepted now. */
    public DiffCommand setOlder(long number) {
        older = number;
        return this;
    }

    /** The version to compare to; 0, the default, for the one accepted now. */
    public DiffCommand setNewer(long number) {
        newer = number;
        return this;
    }

    /** Parts that need not be read from the store again, by digest. */
    public DiffCommand setKnownParts(Map<Digest, byte[]> parts) {
        known.putAll(parts);
        return this;
    }

    /** By when the command must be done. */
    public DiffCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** Runs the command. */
    public DiffResult call() {
        VersionReader reader = new VersionReader(repository, known, deadline);
        return switch (reader.readHead().flatMap(head -> compare(reader, head))) {
            case Result.Ok<DiffResult, VersionError>(DiffResult result) -> result;
            case Result.Err<DiffResult, VersionError>(VersionError error) ->
                new DiffResult.Unavailable(ReadErrors.detail(error), ReadErrors.retryAfterMillis(error));
        };
    }

    private Result<DiffResult, VersionError> compare(VersionReader reader, AcceptedHead head) {
        return reader.read(head, older).flatMap(from -> reader.read(head, newer).map(to -> compare(from, to)));
    }

    private DiffResult compare(VersionReader.Read from, VersionReader.Read to) {
        if (from instanceof VersionReader.Read.Absent(long newest)) {
            return new DiffResult.NoSuchVersion(older, newest);
        }
        if (to instanceof VersionReader.Read.Absent(long newest)) {
            return new DiffResult.NoSuchVersion(newer, newest);
        }
        Snapshot a = ((VersionReader.Read.Found) from).snapshot();
        Snapshot b = ((VersionReader.Read.Found) to).snapshot();
        return new DiffResult.Difference(
                a.id(), b.id(), ConfigurationDiff.between(a.configuration(), b.configuration()));
    }
}
