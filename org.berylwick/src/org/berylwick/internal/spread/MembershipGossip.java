package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.MembershipEvent;
import org.berylwick.internal.membership.FailureDetector;
import org.berylwick.internal.membership.MemberHash;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.MemberRecord;
import org.berylwick.proto.MembershipDelta;
import org.berylwick.proto.MembershipSummary;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.VersionReports;
import org.berylwick.transport.MemberMessages;

/**
 * Gossips member records over the links; each changed record is sent about once over each link.
 *
 * <p>Changes of a member's state are forwarded after the short record batching time. A change of the installed version
 * alone is batched for longer and sent as a version report with a short hash of the member, because every member has
 * such a change after each new version. Not thread-safe; confined to the spread thread.
 */
final class MembershipGossip {
    private static final EventLog EVENTS = new EventLog(MembershipGossip.class);
    private static final int MAX_RECORDS_PER_MESSAGE = 200;

    private final SpreadTuning tuning;
    private final LocalMember localMember;
    private final MembershipTable table;
    private final FailureDetector detector;
    private final LinkTable links;
    private final TimeSource time;
    private final SpreadMetrics metrics;
    private Optional<Deadline> recordsDue = Optional.empty();
    private Optional<Deadline> reportsDue = Optional.empty();
    private MembershipView indexedView = MembershipView.EMPTY;
    private Map<Long, Member> byIncarnationHash = Map.of();

    MembershipGossip(
            SpreadTuning tuning,
            LocalMember localMember,
            MembershipTable table,
            FailureDetector detector,
            LinkTable links,
            TimeSource time,
            SpreadMetrics metrics) {
        this.tuning = tuning;
        this.localMember = localMember;
        this.table = table;
        this.detector = detector;
        this.links = links;
        this.time = time;
        this.metrics = metrics;
    }

    /**
     * Merges records into the membership table, together with the current local record, and queues the changed ones for
     * the other links.
     *
     * @param source link on which the records were received; null if they originate from this daemon
     */
    void merge(Collection<Member> records, PeerLink source) {
        MembershipView before = table.view();
        List<Member> others = new ArrayList<>();
        for (Member memberRecord : records) {
            if (memberRecord.instance().equals(localMember.current().instance())) {
                refute(memberRecord);
            } else {
                others.add(source == null ? memberRecord : downgradeToSuspect(before, memberRecord));
            }
        }
        others.add(localMember.current());
        List<Member> changed = table.mergeAll(others);
        for (Member member : changed) {
            detector.recordChanged(member);
            logStateChange(before.find(member.instance()), member);
            enqueue(before.find(member.instance()), member, source);
        }
        if (source != null) {
            records.forEach(m -> removePending(m, source));
        }
    }

    /**
     * Treats a peer's claim that a member is gone as a suspicion while the member is considered alive here.
     *
     * <p>When a network partition between regions heals, each side may have declared the other side's members gone.
     * They must not be removed from service before they had time to refute the claim.
     */
    private static Member downgradeToSuspect(MembershipView before, Member claim) {
        boolean consideredAlive = before.find(claim.instance())
                .filter(m -> m.incarnation() == claim.incarnation())
                .filter(m -> m.state().compareTo(Member.State.SUSPECT) <= 0)
                .isPresent();
        return claim.state() == Member.State.GONE && consideredAlive ? claim.withState(Member.State.SUSPECT) : claim;
    }

    private void refute(Member claim) {
        FailureDetector.refutingIncarnation(localMember.current(), claim).ifPresent(incarnation -> {
            localMember.refute(incarnation);
            metrics.refuted.inc();
            EVENTS.log(MembershipEvent.REFUTED, claim.state(), incarnation);
        });
    }

    private static void logStateChange(Optional<Member> before, Member now) {
        if (before.map(Member::state).filter(s -> s == now.state()).isEmpty()) {
            EVENTS.log(MembershipEvent.STATE, now.instance(), now.state(), now.incarnation());
        }
    }

    private void enqueue(Optional<Member> before, Member now, PeerLink source) {
        boolean versionOnly = before.filter(b -> b.withVersion(now.version(), now.installedAtEpochMillis())
                        .equals(now))
                .isPresent();
        for (PeerLink link : links.established()) {
            if (link != source) {
                (versionOnly ? link.pendingReports : link.pendingRecords).add(now.instance());
            }
        }
        if (versionOnly) {
            reportsDue = reportsDue.or(() -> Optional.of(Deadline.afterMillis(time, tuning.reportBatchMillis())));
        } else {
            recordsDue = recordsDue.or(() -> Optional.of(Deadline.afterMillis(time, tuning.recordBatchMillis())));
        }
    }

    /** Removes a record from the source's queues if the table holds exactly what the source sent. */
    private void removePending(Member sent, PeerLink source) {
        table.view().find(sent.instance()).filter(sent::equals).ifPresent(m -> {
            source.pendingRecords.remove(m.instance());
            source.pendingReports.remove(m.instance());
        });
    }

    /** Handles complete member records sent by a peer; unreadable ones are logged and skipped. */
    void onDelta(MembershipDelta delta, PeerLink source) {
        List<Member> records = new ArrayList<>();
        for (MemberRecord r : delta.getMembersList()) {
            switch (MemberMessages.toMember(r)) {
                case Result.Ok<Member, String>(Member m) -> records.add(m);
                case Result.Err<Member, String>(String detail) ->
                    EVENTS.log(MembershipEvent.UNREADABLE_RECORD, r.getInstance(), detail);
            }
        }
        merge(records, source);
    }

    /**
     * Handles reports of the version installed on members.
     *
     * <p>Reports on unknown incarnations, and on members known to have a newer version, are ignored.
     */
    void onReports(VersionReports reports, PeerLink source) {
        refreshIndex();
        List<Member> records = new ArrayList<>();
        for (int i = 0; i < reports.getMembersCount(); i++) {
            Member m = byIncarnationHash.get(reports.getMembers(i));
            if (m != null && m.version() <= reports.getVersion()) {
                long installedAtEpochMillis = reports.getInstalledAtEpochMs() + reports.getInstalledAfterMs(i);
                records.add(m.withVersion(reports.getVersion(), installedAtEpochMillis));
            }
        }
        merge(records, source);
    }

    private void refreshIndex() {
        MembershipView view = table.view();
        if (view == indexedView) {
            return;
        }
        Map<Long, Member> index = new HashMap<>();
        view.all().forEach(m -> index.put(MemberHash.ofIncarnation(m), m));
        indexedView = view;
        byIncarnationHash = index;
    }

    /** Queues the records missing in a peer's summary for that peer and schedules an immediate flush. */
    void onSummary(MembershipSummary summary, PeerLink source) {
        Set<Long> known = new HashSet<>(summary.getRecordsList());
        for (Member member : table.view().all()) {
            if (!known.contains(MemberHash.ofState(member))) {
                source.pendingRecords.add(member.instance());
            }
        }
        recordsDue = Optional.of(Deadline.afterMillis(time, 0));
    }

    /** Sends the hashes of all known records to a peer, which answers with the records missing here. */
    void sendSummary(PeerLink link) {
        MembershipSummary.Builder summary = MembershipSummary.newBuilder();
        table.view().all().forEach(m -> summary.addRecords(MemberHash.ofState(m)));
        link.send(PeerMessage.newBuilder().setSummary(summary).build());
    }

    /** Queues version reports on all members for a peer and schedules an immediate flush. */
    void enqueueAllReports(PeerLink link) {
        table.view().all().forEach(m -> link.pendingReports.add(m.instance()));
        reportsDue = Optional.of(Deadline.afterMillis(time, 0));
    }

    /** Sends queued records and reports whose batching time has elapsed. */
    void flush() {
        if (recordsDue.filter(d -> d.isPast(time)).isPresent()) {
            recordsDue = Optional.empty();
            links.established().forEach(this::flushRecords);
        }
        if (reportsDue.filter(d -> d.isPast(time)).isPresent()) {
            reportsDue = Optional.empty();
            links.established().forEach(this::flushReports);
        }
    }

    /** Sends all queued records without waiting for the batching time; used before the daemon shuts down. */
    void flushRecordsNow() {
        links.established().forEach(this::flushRecords);
    }

    private void flushRecords(PeerLink link) {
        if (link.pendingRecords.isEmpty()) {
            return;
        }
        if (!link.stream.isReady()) {
            recordsDue = Optional.of(Deadline.afterMillis(time, tuning.heartbeatMillis()));
            return;
        }
        MembershipView view = table.view();
        MembershipDelta.Builder delta = MembershipDelta.newBuilder();
        for (String instance : link.pendingRecords) {
            view.find(instance).ifPresent(m -> delta.addMembers(MemberMessages.toMessage(m)));
            link.pendingReports.remove(instance);
            if (delta.getMembersCount() == MAX_RECORDS_PER_MESSAGE) {
                link.send(PeerMessage.newBuilder().setMembership(delta).build());
                delta.clear();
            }
        }
        link.pendingRecords.clear();
        if (delta.getMembersCount() > 0) {
            link.send(PeerMessage.newBuilder().setMembership(delta).build());
        }
    }

    private void flushReports(PeerLink link) {
        if (link.pendingReports.isEmpty()) {
            return;
        }
        if (!link.stream.isReady()) {
            reportsDue = Optional.of(Deadline.afterMillis(time, tuning.heartbeatMillis()));
            return;
        }
        MembershipView view = table.view();
        Map<Long, List<Member>> byVersion = new HashMap<>();
        for (String instance : link.pendingReports) {
            view.find(instance)
                    .ifPresent(m -> byVersion
                            .computeIfAbsent(m.version(), v -> new ArrayList<>())
                            .add(m));
        }
        link.pendingReports.clear();
        byVersion.forEach((version, members) -> link.send(
                PeerMessage.newBuilder().setReports(toReports(version, members)).build()));
    }

    private static VersionReports toReports(long version, List<Member> members) {
        long earliest =
                members.stream().mapToLong(Member::installedAtEpochMillis).min().orElse(0);
        VersionReports.Builder reports =
                VersionReports.newBuilder().setVersion(version).setInstalledAtEpochMs(earliest);
        for (Member m : members) {
            reports.addMembers(MemberHash.ofIncarnation(m));
            reports.addInstalledAfterMs((int) Math.min(Integer.MAX_VALUE, m.installedAtEpochMillis() - earliest));
        }
        return reports.build();
    }

    /** Returns when {@link #flush} must run next, but no later than {@code atMost}. */
    Deadline nextFlush(Deadline atMost) {
        Deadline next = recordsDue.map(atMost::earlier).orElse(atMost);
        return reportsDue.map(next::earlier).orElse(next);
    }
}
