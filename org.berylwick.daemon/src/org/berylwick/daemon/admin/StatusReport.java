package org.berylwick.daemon.admin;

import java.util.Comparator;
import java.util.List;
import org.berylwick.lib.Member;
import org.berylwick.lib.Snapshot;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.GetStatusReply;

/**
 * Which version is in force where, as one daemon knows it.
 *
 * <p>A daemon lags while a newer version is known to be in force on another. Members tell only when their present
 * version came into force, so the time is that of the earliest one that is still known.
 */
final class StatusReport {
    private final AdminContext context;

    StatusReport(AdminContext context) {
        this.context = context;
    }

    GetStatusReply build() {
        Snapshot snapshot = context.installed().snapshot();
        List<Member> members = context.membership().view().all().stream()
                .sorted(Comparator.comparing(Member::instance))
                .toList();
        long newest =
                members.stream().mapToLong(Member::version).reduce(snapshot.id().number(), Math::max);
        GetStatusReply.Builder status = GetStatusReply.newBuilder()
                .setInstance(context.instance())
                .setVersion(snapshot.id().number())
                .setDigest(snapshot.id().digest().hex())
                .setNewestVersion(newest);
        members.forEach(m -> status.addDaemons(daemon(m, members, snapshot)));
        return status.build();
    }

    private static DaemonStatus daemon(Member member, List<Member> members, Snapshot snapshot) {
        long lagging = members.stream()
                .filter(m -> m.version() > member.version())
                .mapToLong(Member::installedAtEpochMillis)
                .reduce(Long.MAX_VALUE, Math::min);
        if (snapshot.id().number() > member.version()) {
            lagging = Math.min(lagging, snapshot.audit().acceptedAtEpochMillis());
        }
        return DaemonStatus.newBuilder()
                .setInstance(member.instance())
                .setAvailabilityZone(member.place().availabilityZone())
                .setVersion(member.version())
                .setInstalledAtEpochMs(member.installedAtEpochMillis())
                .setLaggingSinceEpochMs(lagging == Long.MAX_VALUE ? 0 : lagging)
                .setState(member.state().name())
                .build();
    }
}
