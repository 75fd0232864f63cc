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
 * Spreads records of members over the links, each over each link about once; for the spreading duty's thread alone.
 *
 * <p>A change of state goes on after the short batch time. A change of nothing but the version in force is gathered for
 * longer and travels as a short hash, as after each new version every member has one.
 */
final class MembershipGossip {
    private static final EventLog EVENTS = new EventLog(MembershipGossip.class);
    private static final int MAX_RECORDS_PER_MESSAGE = 200;

    private final SpreadTuning tuning;
    private final LocalMember self;
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
            LocalMember self,
            MembershipTable table,
            FailureDetector detector,
            LinkTable links,
            TimeSource time,
            SpreadMetrics metrics) {
        this.tuning = tuning;
        this.self = self;
        this.table = table;
        this.detector = detector;
        this.links = links;
        this.time = time;
        this.metrics = metrics;
    }

    /** Merges records from {@code source}, or found here if it is null, and has the news go on to the others. */
    void merge(Collection<Member> records, PeerLink source) {
        MembershipView before = table.view();
        List<Member> others = new ArrayList<>();
        for (Member record : records) {
            if (record.instance().equals(self.current().instance())) {
                refute(record);
            } else {
                others.add(source == null ? record : downgradeToSuspect(before, record));
            }
        }
        others.add(self.current());
        List<Member> changed = table.mergeAll(others);
        for (Member member : changed) {
            detector.changed(member);
            logStateChange(before.find(member.instance()), member);
            enqueue(before.find(member.instance()), member, source);
        }
        if (source != null) {
            records.forEach(m -> dequeueEcho(m, source));
        }
    }

    /**
     * Takes another daemon's giving up of a member for a suspicion: when regions that lost each other meet again, each
     * has given up the other's members, and none of those may drop out before it had time to refute.
     */
    private static Member downgradeToSuspect(MembershipView before, Member claim) {
        boolean consideredAlive = before.find(claim.instance())
                .filter(m -> m.incarnation() == claim.incarnation())
                .filter(m -> m.state().compareTo(Member.State.SUSPECT) <= 0)
                .isPresent();
        return claim.state() == Member.State.GONE && consideredAlive ? claim.withState(Member.State.SUSPECT) : claim;
    }

    private void refute(Member claim) {
        FailureDetector.refute(self.current(), claim).ifPresent(incarnation -> {
            self.refute(incarnation);
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

    /** What a peer sent need not be sent back to it. */
    private void dequeueEcho(Member sent, PeerLink source) {
        table.view().find(sent.instance()).filter(sent::equals).ifPresent(m -> {
            source.pendingRecords.remove(m.instance());
            source.pendingReports.remove(m.instance());
        });
    }

    /** Takes in full records. */
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

    /** Takes in version reports. */
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

    /** Answers a summary with what its sender lacks. */
    void onSummary(MembershipSummary summary, PeerLink source) {
        Set<Long> known = new HashSet<>(summary.getRecordsList());
        for (Member member : table.view().all()) {
            if (!known.contains(MemberHash.ofState(member))) {
                source.pendingRecords.add(member.instance());
            }
        }
        recordsDue = Optional.of(Deadline.afterMillis(time, 0));
    }

    /** Tells a peer which records are known here. */
    void sendSummary(PeerLink link) {
        MembershipSummary.Builder summary = MembershipSummary.newBuilder();
        table.view().all().forEach(m -> summary.addRecords(MemberHash.ofState(m)));
        link.send(PeerMessage.newBuilder().setSummary(summary).build());
    }

    /** Has all versions in force told to a peer. */
    void enqueueAllReports(PeerLink link) {
        table.view().all().forEach(m -> link.pendingReports.add(m.instance()));
        reportsDue = Optional.of(Deadline.afterMillis(time, 0));
    }

    /** Sends what is due. */
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

    /** Sends everything at once, before the daemon leaves. */
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

    /** When {@link #flush} has something to do, at the latest after {@code atMost}. */
    Deadline nextFlush(Deadline atMost) {
        Deadline next = recordsDue.map(atMost::earlier).orElse(atMost);
        return reportsDue.map(next::earlier).orElse(next);
    }
}
