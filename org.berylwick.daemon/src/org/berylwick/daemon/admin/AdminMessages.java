package org.berylwick.daemon.admin;

import org.berylwick.api.ApplyResult;
import org.berylwick.errors.Fault;
import org.berylwick.lib.Member;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.VersionId;
import org.berylwick.proto.Accepted;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.Change;
import org.berylwick.proto.Conflict;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.MemberInfo;
import org.berylwick.proto.Rejected;
import org.berylwick.proto.Unavailable;
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
            case ApplyResult.Unchanged(VersionId current) -> reply.setAccepted(accepted(current, operationId, false));
            case ApplyResult.DryRun(VersionId base, var changes) -> {
                reply.setAccepted(accepted(base, "", false));
                changes.forEach(c -> reply.addChanges(change(c)));
            }
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

    static DaemonStatus status(Member member) {
        return DaemonStatus.newBuilder()
                .setInstance(member.instance())
                .setAvailabilityZone(member.place().availabilityZone())
                .setVersion(member.version())
                .setInstalledAtEpochMs(member.installedAtEpochMillis())
                .build();
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
