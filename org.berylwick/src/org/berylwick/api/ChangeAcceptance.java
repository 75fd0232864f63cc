package org.berylwick.api;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.berylwick.errors.Fault;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.config.ProposedChange;
import org.berylwick.internal.version.Manifest;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionReader;
import org.berylwick.internal.version.VersionReader.Whole;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/** Has one proposed change accepted, again on the newest version each time another operator was first. */
final class ChangeAcceptance {
    private static final int MAX_RACES = 5;

    private final VersionRepository repository;
    private final VersionReader reader;
    private final TimeSource time;
    private final Deadline deadline;

    /**
     * What is asked for.
     *
     * @param change what to make of the base
     * @param baseVersion the version that the change was written against, 0 for whichever is accepted
     * @param inForce the version in force where this runs
     */
    record Request(
            ProposedChange change,
            String operationId,
            String author,
            String summary,
            long baseVersion,
            boolean dryRun,
            VersionId inForce) {}

    ChangeAcceptance(VersionRepository repository, VersionReader reader, TimeSource time, Deadline deadline) {
        this.repository = repository;
        this.reader = reader;
        this.time = time;
        this.deadline = deadline;
    }

    ApplyResult accept(Request request) {
        for (int race = 0; race < MAX_RACES; race++) {
            switch (attempt(request)) {
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
        if (error instanceof VersionError.Undecided(String id, String detail)) {
            return new ApplyResult.Undecided(id, detail);
        }
        return new ApplyResult.Unavailable(ReadErrors.detail(error), ReadErrors.retryAfterMillis(error));
    }

    private Result<ApplyResult, VersionError> attempt(Request request) {
        return reader.readHead().flatMap(head -> {
            // Accepting on a head that is behind what is in force would make a second history,
            // which no daemon that holds the first one would follow.
            if (isBehind(head.id(), request.inForce())) {
                return Result.err(new VersionError.StoreUnavailable(
                        "the store shows version " + head.id() + " but " + request.inForce() + " is in force here",
                        VersionError.DEFAULT_RETRY_MILLIS));
            }
            return repository
                    .findAccepted(head, request.operationId(), request.baseVersion(), deadline)
                    .flatMap(earlier -> earlier.isPresent()
                            ? Result.ok(repeated(earlier.get()))
                            : reader.readCurrent(head).flatMap(current -> mergeOn(head, current, request)));
        });
    }

    private static boolean isBehind(VersionId head, VersionId inForce) {
        return inForce.isNewerThan(head) || (head.number() == inForce.number() && !head.equals(inForce));
    }

    private ApplyResult repeated(VersionId id) {
        Result<Manifest, VersionError> manifest = repository
                .readManifest(id.digest(), deadline)
                .flatMap(bytes -> VersionContent.readManifest(id, bytes).mapError(VersionError.Damaged::new));
        List<ObjectChange> changes = manifest instanceof Result.Ok<Manifest, VersionError>(Manifest m)
                ? m.audit().changes()
                : List.of();
        return new ApplyResult.Accepted(id, changes, true);
    }

    private Result<ApplyResult, VersionError> mergeOn(AcceptedHead head, Whole current, Request request) {
        List<ObjectRef> conflicts = conflicts(current.snapshot(), request);
        if (!conflicts.isEmpty()) {
            return Result.ok(new ApplyResult.Conflict(head.id(), conflicts));
        }
        return switch (request.change().mergeOn(current.snapshot().configuration())) {
            case Result.Err<Configuration, List<Fault>>(List<Fault> faults) ->
                Result.ok(new ApplyResult.Rejected(faults));
            case Result.Ok<Configuration, List<Fault>>(Configuration merged) -> accept(head, current, merged, request);
        };
    }

    private Result<ApplyResult, VersionError> accept(
            AcceptedHead head, Whole current, Configuration merged, Request request) {
        List<ObjectChange> changes =
                ConfigurationDiff.between(current.snapshot().configuration(), merged);
        if (changes.isEmpty()) {
            return Result.ok(new ApplyResult.Unchanged(head.id()));
        }
        if (request.dryRun()) {
            return Result.ok(new ApplyResult.DryRun(head.id(), changes));
        }
        AuditEntry audit =
                new AuditEntry(request.operationId(), request.author(), request.summary(), time.epochMillis(), changes);
        VersionContent content = VersionContent.encode(head.id(), audit, merged);
        return repository
                .accept(head, current.content(), content, deadline)
                .map(a -> a.earlier() ? repeated(a.id()) : new ApplyResult.Accepted(a.id(), changes, false));
    }

    private static List<ObjectRef> conflicts(Snapshot current, Request request) {
        if (request.baseVersion() == 0 || request.baseVersion() >= current.id().number()) {
            return List.of();
        }
        if (!(request.change() instanceof ProposedChange.Merge(var declarations))) {
            return List.of();
        }
        Configuration merged = declarations.changes().applyTo(current.configuration());
        Set<ObjectRef> mine = ConfigurationDiff.between(current.configuration(), merged).stream()
                .map(ObjectChange::object)
                .collect(Collectors.toSet());
        // Until versions between the base and the current one are compared, any change that differs counts.
        return mine.stream().sorted().toList();
    }
}
