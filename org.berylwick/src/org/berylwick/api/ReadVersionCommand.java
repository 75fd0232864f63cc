package org.berylwick.api;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.VersionReader;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;

/** Reads the whole configuration of one accepted version from the store. */
public final class ReadVersionCommand {
    private final VersionRepository repository;
    private final Map<Digest, byte[]> known = new HashMap<>();
    private long version;
    private Deadline deadline;

    /** A command on {@code repository}; must be given a deadline before {@link #call()}. */
    public ReadVersionCommand(VersionRepository repository) {
        this.repository = repository;
    }

    /** The version's number; 0, the default, for the one accepted now. */
    public ReadVersionCommand setVersion(long number) {
        version = number;
        return this;
    }

    /** Parts that need not be read from the store again, by digest. */
    public ReadVersionCommand setKnownParts(Map<Digest, byte[]> parts) {
        known.putAll(parts);
        return this;
    }

    /** By when the command must be done. */
    public ReadVersionCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** Runs the command. */
    public ReadVersionResult call() {
        VersionReader reader = new VersionReader(repository, known, deadline);
        return switch (reader.readHead().flatMap(head -> reader.read(head, version))) {
            case Result.Ok<VersionReader.Read, VersionError>(VersionReader.Read.Found(Snapshot snapshot)) ->
                new ReadVersionResult.Found(snapshot);
            case Result.Ok<VersionReader.Read, VersionError>(VersionReader.Read.Absent(long newest)) ->
                new ReadVersionResult.NoSuchVersion(version, newest);
            case Result.Err<VersionReader.Read, VersionError>(VersionError error) ->
                new ReadVersionResult.Unavailable(ReadErrors.detail(error), ReadErrors.retryAfterMillis(error));
        };
    }
}
