package org.berylwick.api;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import org.berylwick.errors.Fault;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ProposedChange;
import org.berylwick.internal.version.VersionReader;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * Has the content of an older version accepted as a new version.
 *
 * <p>No daemon ever goes back: the new version has the next number, and it is validated and audited like any change.
 */
public final class RollbackCommand {
    private final VersionRepository repository;
    private final TimeSource time;
    private final Map<Digest, byte[]> known = new HashMap<>();
    private String operationId = UUID.randomUUID().toString();
    private String author = "";
    private String summary = "";
    private long toVersion;
    private boolean dryRun;
    private VersionId inForce = VersionId.NONE;
    private Deadline deadline;

    /** A command on {@code repository}; must be given a version and a deadline before {@link #call()}. */
    public RollbackCommand(VersionRepository repository, TimeSource time) {
        this.repository = repository;
        this.time = time;
    }

    /** The version whose content is wanted; must be older than the accepted one. */
    public RollbackCommand setToVersion(long number) {
        toVersion = number;
        return this;
    }

    /** Parts that need not be read from the store again, by digest. */
    public RollbackCommand setKnownParts(Map<Digest, byte[]> parts) {
        known.putAll(parts);
        return this;
    }

    /** Names the action; a repeat with the same id is accepted once. A random id is used if none is set. */
    public RollbackCommand setOperationId(String id) {
        operationId = Objects.requireNonNull(id);
        return this;
    }

    /** Who asks, for the audit trail. */
    public RollbackCommand setAuthor(String name) {
        author = name;
        return this;
    }

    /** One line for the audit trail; says which version is restored if none is set. */
    public RollbackCommand setSummary(String line) {
        summary = line;
        return this;
    }

    /** Only tells what would change. */
    public RollbackCommand setDryRun(boolean only) {
        dryRun = only;
        return this;
    }

    /** The version in force where the command runs; a store that shows an older one is not written to. */
    public RollbackCommand setInForce(VersionId id) {
        inForce = id;
        return this;
    }

    /** By when the command must be done. */
    public RollbackCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** Runs the command. */
    public ApplyResult call() {
        VersionReader reader = new VersionReader(repository, known, deadline);
        return switch (reader.readHead().flatMap(head -> reader.read(head, toVersion))) {
            case Result.Ok<VersionReader.Read, VersionError>(VersionReader.Read.Found found) -> restore(reader, found);
            case Result.Ok<VersionReader.Read, VersionError>(VersionReader.Read.Absent(long newest)) ->
                absent("no version " + toVersion + " is kept; the newest is " + newest);
            case Result.Err<VersionReader.Read, VersionError>(VersionError error) ->
                new ApplyResult.Unavailable(ReadErrors.detail(error), ReadErrors.retryAfterMillis(error));
        };
    }

    private ApplyResult restore(VersionReader reader, VersionReader.Read.Found found) {
        if (toVersion <= 0) {
            return absent("must name an accepted version");
        }
        String line = summary.isEmpty() ? "rollback to version " + toVersion : summary;
        ChangeAcceptance.Request request = new ChangeAcceptance.Request(
                new ProposedChange.Restore(found.snapshot().configuration()),
                operationId,
                author,
                line,
                0,
                dryRun,
                inForce);
        return new ChangeAcceptance(repository, reader, time, deadline).accept(request);
    }

    private static ApplyResult absent(String rule) {
        return new ApplyResult.Rejected(List.of(new Fault("(request)", 0, "to_version", rule)));
    }
}
