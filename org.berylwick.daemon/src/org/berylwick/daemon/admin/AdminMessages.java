package org.berylwick.daemon.admin;

import java.util.stream.Collectors;
import org.berylwick.api.ApplyResult;
import org.berylwick.api.HistoryResult.AcceptedVersion;
import org.berylwick.errors.Fault;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Member;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.VersionId;
import org.berylwick.proto.Accepted;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.Change;
import org.berylwick.proto.Conflict;
import org.berylwick.proto.DryRun;
import org.berylwick.proto.HistoryEntry;
import org.berylwick.proto.MemberInfo;
import org.berylwick.proto.Rejected;
import org.berylwick.proto.Unavailable;
import org.berylwick.proto.Unchanged;
import org.berylwick.proto.Undecided;

/** Turns the domain's records into messages of the operators' service. */
final class AdminMessages {
    private AdminMessages() {}

    static ApplyReply reply(ApplyResult result, String operationId) {
        ApplyReply.Builder reply = ApplyReply.newBuilder();
        switch (result) {
            case ApplyResult.Accepted(VersionId version, var changes, boolean repeated) -> {
                reply.setAccepted(accepted(version, operationId, repeated));
                changes.forEach(c -> reply.addChanges(change(c)));
            }
            case ApplyResult.DryRun(VersionId base, var changes) -> {
                reply.setDryRun(DryRun.newBuilder().setBaseVersion(base.number()));
                changes.forEach(c -> reply.addChanges(change(c)));
            }
            case ApplyResult.Unchanged(VersionId current) ->
                reply.setUnchanged(Unchanged.newBuilder().setCurrentVersion(current.number()));
            case ApplyResult.Conflict(VersionId current, var objects) -> {
                Conflict.Builder conflict = Conflict.newBuilder().setCurrentVersion(current.number());
                objects.forEach(o -> conflict.addObjects(o.toString()));
                reply.setConflict(conflict);
            }
            case ApplyResult.Rejected(var faults) -> {
                Rejected.Builder rejected = Rejected.newBuilder();
                faults.forEach(f -> rejected.addFaults(fault(f)));
                reply.setRejected(rejected);
            }
            case ApplyResult.Unavailable(String detail, long retryAfterMillis) ->
                reply.setUnavailable(Unavailable.newBuilder().setDetail(detail).setRetryAfterMs(retryAfterMillis));
            case ApplyResult.Undecided(String id, String detail) ->
                reply.setUndecided(Undecided.newBuilder().setOperationId(id).setDetail(detail));
        }
        return reply.build();
    }

    /** One word for the audit trail and the log. */
    static String word(ApplyResult result) {
        return switch (result) {
            case ApplyResult.Accepted ignored -> "accepted";
            case ApplyResult.DryRun ignored -> "dry-run";
            case ApplyResult.Unchanged ignored -> "unchanged";
            case ApplyResult.Conflict ignored -> "conflict";
            case ApplyResult.Rejected ignored -> "rejected";
            case ApplyResult.Unavailable ignored -> "unavailable";
            case ApplyResult.Undecided ignored -> "undecided";
        };
    }

    /** What was wrong, in one line; empty if nothing was. */
    static String detail(ApplyResult result) {
        return switch (result) {
            case ApplyResult.Accepted ignored -> "";
            case ApplyResult.DryRun ignored -> "";
            case ApplyResult.Unchanged ignored -> "";
            case ApplyResult.Conflict(VersionId current, var objects) ->
                "version " + current.number() + " was accepted first; both change "
                        + objects.stream().map(Object::toString).collect(Collectors.joining(", "));
            case ApplyResult.Rejected(var faults) ->
                faults.getFirst() + (faults.size() > 1 ? " and " + (faults.size() - 1) + " more" : "");
            case ApplyResult.Unavailable(String detail, long ignored) -> detail;
            case ApplyResult.Undecided(String ignored, String detail) -> detail;
        };
    }

    private static Accepted accepted(VersionId version, String operationId, boolean repeated) {
        return Accepted.newBuilder()
                .setVersion(version.number())
                .setDigest(version.digest().hex())
                .setOperationId(operationId)
                .setRepeatedOperation(repeated)
                .build();
    }

    private static org.berylwick.proto.Fault fault(Fault fault) {
        return org.berylwick.proto.Fault.newBuilder()
                .setDocument(fault.document())
                .setLine(fault.line())
                .setField(fault.field())
                .setRule(fault.rule())
                .build();
    }

    static Change change(ObjectChange change) {
        Change.Kind kind = switch (change.kind()) {
            case ADDED -> Change.Kind.ADDED;
            case CHANGED -> Change.Kind.CHANGED;
            case REMOVED -> Change.Kind.REMOVED;
        };
        return Change.newBuilder()
                .setKind(kind)
                .setObject(change.object().toString())
                .addAllBrands(change.brands())
                .build();
    }

    static HistoryEntry history(AcceptedVersion version) {
        AuditEntry audit = version.audit();
        HistoryEntry.Builder entry = HistoryEntry.newBuilder()
                .setVersion(version.id().number())
                .setDigest(version.id().digest().hex())
                .setOperationId(audit.operationId())
                .setAuthor(audit.author())
                .setSummary(audit.summary())
                .setAcceptedAtEpochMs(audit.acceptedAtEpochMillis());
        audit.changes().forEach(c -> entry.addChanges(change(c)));
        return entry.build();
    }

    static MemberInfo member(Member member) {
        return MemberInfo.newBuilder()
                .setInstance(member.instance())
                .setService(member.service())
                .setAddress(member.address().toString())
                .setAvailabilityZone(member.place().availabilityZone())
                .setRegion(member.place().region())
                .putAllLabels(member.labels().values())
                .setState(member.state().name())
                .setIncarnation(member.incarnation())
                .build();
    }
}
