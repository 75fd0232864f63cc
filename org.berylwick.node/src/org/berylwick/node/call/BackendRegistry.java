package org.berylwick.node.call;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.DepartureRecord;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.ServerConnectionPool;

/**
 * Tracks which incarnation of the backend server runs beside this node, and its state, from what it reports and from
 * its silence; confined to the event loop.
 */
final class BackendRegistry {
    /** Logged where a call carries no sequence number. */
    private static final long NO_SEQUENCE = -1;

    private final Clock clock;
    private final Function<InetSocketAddress, ServerConnectionPool> poolFactory;
    private final long heartbeatNanos;
    private final Instruments instruments;
    private final Runnable onChange;
    private final DepartedIncarnations departedIncarnations = new DepartedIncarnations(System::currentTimeMillis);
    private final ReportedStarts reportedStarts = new ReportedStarts();
    private final StartupEvidence startupEvidence;
    /** Reports that wait for the departures to be known, the latest of each id. */
    private final Map<String, UnconfirmedReport> unconfirmed = new LinkedHashMap<>();

    private DepartureRecord departureRecord = DepartureRecord.IN_MEMORY;
    /** Whether the leaves that earlier processes of this node have acknowledged are known. */
    private boolean departuresKnown = true;

    private Optional<Backend> current = Optional.empty();

    private record UnconfirmedReport(BackendReport report, BackendEvidence evidence, long receivedAt) {
        /** Returns this one if it is of a later start under the same id than the other one. */
        UnconfirmedReport laterStart(UnconfirmedReport other) {
            return other.report.incarnation().isEarlierStartThan(report.incarnation()) ? this : other;
        }
    }

    /**
     * @param clock time source
     * @param poolFactory creates the connection pool for the backend server at an address
     * @param heartbeatNanos interval between two heartbeats of the backend server
     * @param instruments receive metric counts and events
     * @param onChange runs after each change of the backend server's state
     */
    BackendRegistry(
            Clock clock,
            Function<InetSocketAddress, ServerConnectionPool> poolFactory,
            long heartbeatNanos,
            Instruments instruments,
            Runnable onChange) {
        this.clock = clock;
        this.poolFactory = poolFactory;
        this.heartbeatNanos = heartbeatNanos;
        this.instruments = instruments;
        this.onChange = onChange;
        this.startupEvidence = new StartupEvidence(clock.now(), heartbeatNanos / 2);
    }

    /** The current incarnation, empty until one is known. */
    Optional<Backend> current() {
        return current;
    }

    /** Sets where leaves are recorded; until {@link #onDeparturesRead}, those in the record are unknown. */
    void setDepartureRecord(DepartureRecord record) {
        departureRecord = record;
        departuresKnown = false;
    }

    /** Whether the leaves that earlier processes of this node have acknowledged are known. */
    boolean areDeparturesKnown() {
        return departuresKnown;
    }

    /**
     * Takes over departures from the record, and takes up what was reported before.
     *
     * @param incarnations the incarnations that have left
     */
    void onDeparturesRead(List<Incarnation> incarnations) {
        for (Incarnation incarnation : incarnations) {
            onEarlierLeave(incarnation, BackendEvidence.RECORD);
        }
        if (departuresKnown) {
            return;
        }
        departuresKnown = true;
        List<UnconfirmedReport> reports = List.copyOf(unconfirmed.values());
        unconfirmed.clear();
        reports.forEach(this::process);
    }

    /**
     * Processes what another node has last heard of an incarnation from an earlier process of this node.
     *
     * @param incarnation the incarnation
     * @param state its state then
     */
    void onFormerState(Incarnation incarnation, BackendState state) {
        if (state == BackendState.DRAINING) {
            onEarlierLeave(incarnation, BackendEvidence.OTHER_NODE);
        } else if (state == BackendState.READY) {
            reportedStarts.onReady(incarnation);
            startupEvidence.onFormerlyReady(incarnation);
            Optional.ofNullable(unconfirmed.remove(incarnation.id())).ifPresent(this::process);
        }
    }

    /**
     * Processes a heartbeat or the result of a health check of an incarnation that says it is ready; ignores one that
     * is older than the current state, or from an incarnation that has left.
     */
    void onReport(BackendReport report, BackendEvidence evidence) {
        process(new UnconfirmedReport(report, evidence, clock.now()));
    }

    private void process(UnconfirmedReport received) {
        BackendReport report = received.report();
        BackendEvidence evidence = received.evidence();
        if (departedIncarnations.contains(report.incarnation())) {
            ignore(report, "incarnation has left");
            return;
        }
        if (departedIncarnations.startedBeforeUndatedLeave(report.incarnation())) {
            ignore(report, "started before its id left");
            departedIncarnations.add(report.incarnation());
            departureRecord.record(report.incarnation().text(), () -> {});
            return;
        }
        reportedStarts.onReady(report.incarnation());
        if (evidence == BackendEvidence.HEALTH_CHECK) {
            startupEvidence.onHealthy(report.incarnation());
        } else {
            startupEvidence.onHeartbeat(report, received.receivedAt());
        }
        if (departuresKnown || isCurrent(report.incarnation()) || startupEvidence.isEnoughFor(report.incarnation())) {
            apply(report, evidence);
        } else {
            unconfirmed.merge(report.incarnation().id(), received, UnconfirmedReport::laterStart);
            ignore(report, "departures are not known yet");
        }
    }

    /**
     * Processes a heartbeat in which an incarnation says that it drains.
     *
     * @param report the heartbeat
     * @param onRecorded runs when the leave outlasts this process
     */
    void onDraining(BackendReport report, Runnable onRecorded) {
        boolean first = leave(report.incarnation(), BackendEvidence.HEARTBEAT);
        if (first || isCurrent(report.incarnation())) {
            apply(report, BackendEvidence.HEARTBEAT);
        }
        departureRecord.record(report.incarnation().text(), onRecorded);
    }

    /**
     * Processes the deregistration of a backend server, which has stopped or is about to stop. It names no start and
     * means the latest of the id that was reported ready.
     *
     * @param id id of the incarnation
     * @param onRecorded runs when the leave outlasts this process
     */
    void onDeregistered(String id, Runnable onRecorded) {
        Incarnation leaving = reportedStarts.latestOf(id);
        leave(leaving, BackendEvidence.DEREGISTRATION);
        departureRecord.record(leaving.text(), onRecorded);
    }

    /** Whether the latest start of an id that was reported ready has left. */
    boolean hasLatestLeft(String id) {
        return hasLeft(reportedStarts.latestOf(id));
    }

    boolean hasLeft(Incarnation incarnation) {
        return departedIncarnations.contains(incarnation);
    }

    private boolean isCurrent(Incarnation incarnation) {
        return current.filter(known -> known.incarnation().equals(incarnation)).isPresent();
    }

    private void apply(BackendReport report, BackendEvidence evidence) {
        Backend known = current.orElse(null);
        if (known != null && known.isFirstReportAfterHealthCheck(report)) {
            known.setIncarnation(report.incarnation());
        }
        if (isCurrent(report.incarnation())) {
            if (report.sequence() < known.sequence()) {
                ignore(report, "stale sequence number");
            } else if (known.applyReport(report, clock.now())) {
                notifyChange(known, evidence);
            }
            return;
        }
        if (known != null && isEarlierThan(known, report)) {
            ignore(report, "earlier incarnation");
            return;
        }
        if (known != null) {
            retire(known, "replaced by another incarnation");
        }
        Backend replacement = new Backend(report, poolFactory.apply(report.address()), clock.now(), this::onExit);
        current = Optional.of(replacement);
        notifyChange(replacement, evidence);
    }

    /** Orders incarnations by the time of their start, or else by when and with which sequence numbers they report. */
    private boolean isEarlierThan(Backend known, BackendReport report) {
        Incarnation reported = report.incarnation();
        if (reported.isEarlierStartThan(known.incarnation())) {
            return true;
        }
        if (known.incarnation().isEarlierStartThan(reported)) {
            return false;
        }
        if (known.incarnation().hasBorn() && reported.hasBorn() && known.state() != BackendState.ABSENT) {
            return reported.born() < known.incarnation().born();
        }
        return known.isMoreRecentThan(report, 2 * heartbeatNanos, clock.now());
    }

    /**
     * Records that an incarnation leaves, which it never takes back. The order in which its reports arrived therefore
     * does not matter.
     *
     * @return whether this was not known yet
     */
    private boolean leave(Incarnation incarnation, BackendEvidence evidence) {
        boolean first = departedIncarnations.add(incarnation);
        if (evidence != BackendEvidence.RECORD && evidence != BackendEvidence.OTHER_NODE) {
            departedIncarnations.onAnnounced(incarnation);
        }
        Backend known = current.orElse(null);
        if (known != null
                && known.state() != BackendState.DRAINING
                && known.incarnation().id().equals(incarnation.id())
                && departedIncarnations.contains(known.incarnation())) {
            known.startDraining();
            notifyChange(known, evidence);
        }
        return first;
    }

    /** Records a leave that was announced to an earlier process of this node. */
    private void onEarlierLeave(Incarnation incarnation, BackendEvidence evidence) {
        if (leave(incarnation, evidence)) {
            instruments.log().write(Event.BACKEND_LEFT_EARLIER, "incarnation", incarnation.text(), "by", evidence);
        }
    }

    /** Processes a response in which an incarnation states that it leaves. */
    void onLeaveStated(Backend leaving) {
        if (leave(leaving.incarnation(), BackendEvidence.STATED_IN_RESPONSE)) {
            instruments
                    .log()
                    .write(
                            Event.BACKEND_LEAVING,
                            "incarnation",
                            leaving.incarnation().text());
            departureRecord.record(leaving.incarnation().text(), () -> {});
        }
    }

    /**
     * Closes idle connections to the backend server, and marks it absent if nothing has been received from it for too
     * long.
     *
     * @param running the requests that it runs
     */
    void tick(RunningRequests running) {
        current.ifPresent(server -> server.pool().evictIdle());
        Backend known = current.orElse(null);
        if (known == null || known.state() == BackendState.ABSENT) {
            return;
        }
        if (BackendSilence.isAbsent(known, running, heartbeatNanos, clock.now())) {
            known.markAbsent();
            notifyChange(known, BackendEvidence.SILENCE);
        }
    }

    private void ignore(BackendReport report, String why) {
        instruments.counters().increment(NodeMetricNames.HEARTBEATS_IGNORED);
        instruments
                .log()
                .write(
                        Event.BACKEND_REPORT_IGNORED,
                        "incarnation",
                        report.incarnation().text(),
                        "state",
                        report.state(),
                        "sequence",
                        report.sequence(),
                        "why",
                        why,
                        "current",
                        current.map(server -> server.incarnation().text()).orElse(""),
                        "currentSequence",
                        current.map(Backend::sequence).orElse(NO_SEQUENCE));
    }

    /** Gives up an incarnation that did not say that it left; it returns with its next heartbeat if it still runs. */
    private void retire(Backend retired, String reason) {
        instruments
                .log()
                .write(
                        Event.BACKEND_CHANGED,
                        "incarnation",
                        retired.incarnation().text(),
                        "state",
                        "RETIRED",
                        "why",
                        reason);
        retired.pool().close();
    }

    /** Marks an incarnation absent that has ended, until a heartbeat arrives; one that is draining ends as planned. */
    private void onExit(Backend exited) {
        if (exited != current.orElse(null) || exited.state() != BackendState.READY) {
            return;
        }
        instruments.counters().increment(NodeMetricNames.OWNER_BACKEND_EXITS);
        instruments
                .log()
                .write(
                        Event.BACKEND_EXITED,
                        "incarnation",
                        exited.incarnation().text(),
                        "service",
                        exited.service(),
                        "state",
                        exited.state(),
                        "requests",
                        exited.runningAtExit());
        exited.markAbsent();
        notifyChange(exited, BackendEvidence.EXIT);
    }

    private void notifyChange(Backend changed, BackendEvidence evidence) {
        instruments
                .log()
                .write(
                        Event.BACKEND_CHANGED,
                        "incarnation",
                        changed.incarnation().text(),
                        "service",
                        changed.service(),
                        "state",
                        changed.state(),
                        "by",
                        evidence,
                        "version",
                        changed.softwareVersion(),
                        "slots",
                        changed.slots(),
                        "sequence",
                        changed.sequence(),
                        "warmUpMs",
                        changed.warmUpNanos(clock.now()) / 1_000_000);
        onChange.run();
    }
}
