package org.berylwick.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import org.berylwick.errors.Fault;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ChangeSet;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.config.ConfigurationValidator;
import org.berylwick.internal.config.DeclarationReader;
import org.berylwick.internal.config.DeclarationReader.Declarations;
import org.berylwick.internal.config.DeclarationReader.Document;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;

/**
 * Merges documents on a version and has the result accepted.
 *
 * <p>The whole result is validated before anything is written. A change written against an older base is merged if
 * nobody changed the same objects since; otherwise it is a conflict that names them.
 */
public final class ApplyCommand {
    private static final int MAX_RACES = 5;

    private final VersionRepository repository;
    private final TimeSource time;
    private final List<Document> documents = new ArrayList<>();
    private final Map<Digest, byte[]> known = new HashMap<>();
    private String operationId = UUID.randomUUID().toString();
    private String author = "";
    private String summary = "";
    private long baseVersion;
    private boolean dryRun;
    private Deadline deadline;

    /** A command on {@code repository}; must be given a deadline before {@link #call()}. */
    public ApplyCommand(VersionRepository repository, TimeSource time) {
        this.repository = repository;
        this.time = time;
    }

    /** Adds a TOML document. */
    public ApplyCommand addDocument(String name, String text) {
        documents.add(new Document(name, text));
        return this;
    }

    /** Parts that need not be read from the store again, by digest. */
    public ApplyCommand setKnownParts(Map<Digest, byte[]> parts) {
        known.putAll(parts);
        return this;
    }

    /** Names the action; a repeat with the same id is accepted once. A random id is used if none is set. */
    public ApplyCommand setOperationId(String id) {
        operationId = Objects.requireNonNull(id);
        return this;
    }

    /** Who asks, for the audit trail. */
    public ApplyCommand setAuthor(String name) {
        author = name;
        return this;
    }

    /** One line for the audit trail. */
    public ApplyCommand setSummary(String line) {
        summary = line;
        return this;
    }

    /** The version that the change was written against; 0 for whichever is accepted now. */
    public ApplyCommand setBaseVersion(long number) {
        baseVersion = number;
        return this;
    }

    /** Only tells what would change. */
    public ApplyCommand setDryRun(boolean only) {
        dryRun = only;
        return this;
    }

    /** By when the command must be done. */
    public ApplyCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** Runs the command. */
    public ApplyResult call() {
        return switch (DeclarationReader.read(documents)) {
            case Result.Err<Declarations, List<Fault>>(List<Fault> faults) -> new ApplyResult.Rejected(faults);
            case Result.Ok<Declarations, List<Fault>>(Declarations declarations) -> merge(declarations);
        };
    }

    private ApplyResult merge(Declarations declarations) {
        for (int race = 0; race < MAX_RACES; race++) {
            switch (attempt(declarations)) {
                case Result.Ok<ApplyResult, VersionError>(ApplyResult result) -> {
                    return result;
                }
                case Result.Err<ApplyResult, VersionError>(VersionError.Superseded ignored) -> {
                    // Another operator was first; merge again on what was accepted.
                }
                case Result.Err<ApplyResult, VersionError>(VersionError error) -> {
                    return failed(error);
                }
            }
        }
        return new ApplyResult.Unavailable(
                "other operators' changes were accepted first " + MAX_RACES + " times", 1_000);
    }

    private static ApplyResult failed(VersionError error) {
        return switch (error) {
            case VersionError.StoreUnavailable(String detail, long retry) -> new ApplyResult.Unavailable(detail, retry);
            case VersionError.Damaged(String detail) -> new ApplyResult.Unavailable(detail, 0);
            case VersionError.Undecided(String id, String detail) -> new ApplyResult.Undecided(id, detail);
            case VersionError.Superseded ignored ->
                throw new IllegalStateException("handled where the race is run again");
        };
    }

    private Result<ApplyResult, VersionError> attempt(Declarations declarations) {
        return repository.readHead(deadline).flatMap(head -> {
            if (head.operationId().equals(operationId)) {
                return Result.ok(new ApplyResult.Accepted(head.id(), List.of(), true));
            }
            return readSnapshot(head).flatMap(current -> mergeOn(head, current, declarations));
        });
    }

    private Result<Snapshot, VersionError> readSnapshot(AcceptedHead head) {
        if (head.id().number() == 0) {
            return Result.ok(Snapshot.NONE);
        }
        return repository.read(head.id(), known, deadline).flatMap(content -> {
            known.putAll(content.parts());
            return content.toSnapshot().mapError(VersionError.Damaged::new);
        });
    }

    private Result<ApplyResult, VersionError> mergeOn(AcceptedHead head, Snapshot current, Declarations declarations) {
        ChangeSet changeSet = declarations.changes();
        List<ObjectRef> conflicts = conflicts(current, changeSet);
        if (!conflicts.isEmpty()) {
            return Result.ok(new ApplyResult.Conflict(head.id(), conflicts));
        }
        Configuration merged = changeSet.applyTo(current.configuration());
        List<Fault> faults = ConfigurationValidator.validate(merged, declarations.places());
        if (!faults.isEmpty()) {
            return Result.ok(new ApplyResult.Rejected(faults));
        }
        List<ObjectChange> changes = ConfigurationDiff.between(current.configuration(), merged);
        if (dryRun) {
            return Result.ok(new ApplyResult.DryRun(head.id(), changes));
        }
        AuditEntry audit = new AuditEntry(operationId, author, summary, time.epochMillis(), changes);
        VersionContent content = VersionContent.encode(head.id(), audit, merged);
        return repository
                .accept(head, content, known, deadline)
                .map(accepted -> new ApplyResult.Accepted(accepted.id(), changes, false));
    }

    private List<ObjectRef> conflicts(Snapshot current, ChangeSet changeSet) {
        if (baseVersion == 0 || baseVersion >= current.id().number()) {
            return List.of();
        }
        Set<ObjectRef> mine =
                ConfigurationDiff.between(current.configuration(), changeSet.applyTo(current.configuration())).stream()
                        .map(ObjectChange::object)
                        .collect(Collectors.toSet());
        // Until versions between the base and the current one are compared, any change that differs counts.
        return mine.stream().sorted().toList();
    }
}
