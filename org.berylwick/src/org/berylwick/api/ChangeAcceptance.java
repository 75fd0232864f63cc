package org.berylwick.api;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.berylwick.errors.Fault;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.config.ProposedChange;
import org.berylwick.internal.version.ContentLimits;
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
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/** Has one proposed change accepted, again on the newest version each time another operator was first; one use. */
final class ChangeAcceptance {
    private static final int MAX_RACES = 5;

    private final VersionRepository repository;
    private final VersionReader reader;
    private final TimeSource time;
    private final Deadline deadline;
    private OptionalLong base = OptionalLong.empty();

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
        base = request.baseVersion() == 0 ? OptionalLong.empty() : OptionalLong.of(request.baseVersion());
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
            if (base.isEmpty()) {
                // Whoever names no base wrote against what is accepted as the command begins; an operator who
                // changes the same object while this one is merged must not be overwritten unseen.
                base = OptionalLong.of(head.id().number());
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
        List<ObjectChange> changes =
                repository.readTable(id, deadline) instanceof Result.Ok<Manifest, VersionError>(Manifest m)
                        ? m.audit().changes()
                        : List.of();
        return new ApplyResult.Accepted(id, changes, true);
    }

    private Result<ApplyResult, VersionError> mergeOn(AcceptedHead head, Whole current, Request request) {
        Configuration before = current.snapshot().configuration();
        return switch (request.change().mergeOn(before)) {
            case Result.Ok<Configuration, List<Fault>>(Configuration merged) -> {
                List<ObjectChange> changes = ConfigurationDiff.between(before, merged);
                Set<ObjectRef> touched =
                        changes.stream().map(ObjectChange::object).collect(Collectors.toSet());
                yield refuseConflicts(head, current, touched, request)
                        .flatMap(refusal -> refusal.isPresent()
                                ? Result.ok(refusal.get())
                                : accept(head, current, merged, changes, request));
            }
            case Result.Err<Configuration, List<Fault>>(List<Fault> faults) ->
                refuseConflicts(head, current, request.change().removals(), request)
                        .map(refusal -> refusal.orElseGet(() -> new ApplyResult.Rejected(faults)));
        };
    }

    /** A refusal if others changed any of {@code touched} since the base. */
    private Result<Optional<ApplyResult>, VersionError> refuseConflicts(
            AcceptedHead head, Whole current, Set<ObjectRef> touched, Request request) {
        long from = base.orElseThrow();
        if (from == head.id().number()) {
            return Result.ok(Optional.empty());
        }
        return repository.find(head, from, deadline).flatMap(id -> {
            if (id.isEmpty()) {
                String rule = "no version " + from + " is kept; the newest is "
                        + head.id().number();
                return Result.ok(Optional.of(
                        new ApplyResult.Rejected(List.of(new Fault("(request)", 0, "base_version", rule)))));
            }
            return repository.readTable(id.get(), deadline).map(then -> {
                List<ObjectRef> conflicts = touched.stream()
                        .filter(o -> !Objects.equals(
                                then.parts().get(o.toString()),
                                current.content().manifest().parts().get(o.toString())))
                        .sorted()
                        .toList();
                return conflicts.isEmpty()
                        ? Optional.empty()
                        : Optional.of(new ApplyResult.Conflict(head.id(), conflicts));
            });
        });
    }

    private Result<ApplyResult, VersionError> accept(
            AcceptedHead head, Whole current, Configuration merged, List<ObjectChange> changes, Request request) {
        if (changes.isEmpty()) {
            return Result.ok(new ApplyResult.Unchanged(head.id()));
        }
        VersionContent content = encode(current, merged, changes, request);
        List<Fault> oversized = ContentLimits.check(content, request.change().places());
        if (!oversized.isEmpty()) {
            return Result.ok(new ApplyResult.Rejected(oversized));
        }
        if (request.dryRun()) {
            return Result.ok(new ApplyResult.DryRun(head.id(), changes));
        }
        return repository
                .accept(head, current.content(), content, deadline)
                .map(a -> a.earlier() ? repeated(a.id()) : new ApplyResult.Accepted(a.id(), changes, false));
    }

    private VersionContent encode(Whole current, Configuration merged, List<ObjectChange> changes, Request request) {
        List<ObjectChange> abridged =
                changes.stream().map(ObjectChange::abridged).toList();
        AuditEntry audit = new AuditEntry(
                request.operationId(), request.author(), request.summary(), time.epochMillis(), abridged);
        return VersionContent.encodeAfter(current.content(), audit, merged);
    }
}
