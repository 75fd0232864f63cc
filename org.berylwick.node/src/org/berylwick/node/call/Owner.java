package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.DepartureRecord;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.OutgoingLink;
import org.berylwick.node.transport.ServerConnectionPool;
import org.berylwick.node.transport.VmLink;

/**
 * Admits, queues and sends all requests to the backend server beside this node, and counts its slots; confined to the
 * event loop.
 *
 * <p>Every request to the backend server passes through this class. Its slot count is therefore exact, a request that
 * it refused has certainly not been run, and once it has acknowledged that the backend server leaves, no node can send
 * that server another request.
 */
public final class Owner {
    /** Maximum number of queued requests per slot. */
    private static final int MAX_QUEUED_PER_SLOT = 8;

    private final Clock clock;
    private final HeaderNames headerNames;
    private final VmLink link;
    private final Counters counters;
    private final EventLog log;
    private final Runnable onBackendChange;
    private final Quarantine quarantine;
    private final RequestQueue queue = new RequestQueue();
    private final RequestBodyScheduler bodyScheduler;
    private final OwnerWaits waits;
    private final DispatchTimer dispatchTimer;
    private final BackendStatements statements;
    private final StartRateBalancer startRateBalancer = new StartRateBalancer();
    private final RunningRequests running = new RunningRequests();
    private final CallOrigins callOrigins;
    private final BackendRegistry registry;
    private VersionGate versionGate = VersionGate.OPEN;
    private boolean stopping;
    private long lastArrivalNumber;

    /**
     * @param clock time source; its tasks run on the same thread as this object's methods
     * @param poolFactory creates the connection pool for the backend server at an address
     * @param headerNames names of the headers exchanged with the backend server
     * @param link network link of this VM
     * @param heartbeatNanos interval between two heartbeats of the backend server
     * @param counters receives metric counts
     * @param log receives events
     * @param onBackendChange runs after each change of the backend server's state
     * @param quarantine requests that the backend server should not run
     * @param vmsByService supplies the number of VMs of each service in this availability zone, including this one
     */
    public Owner(
            Clock clock,
            Function<InetSocketAddress, ServerConnectionPool> poolFactory,
            HeaderNames headerNames,
            VmLink link,
            long heartbeatNanos,
            Counters counters,
            EventLog log,
            Runnable onBackendChange,
            Quarantine quarantine,
            Supplier<Map<String, Integer>> vmsByService) {
        this.clock = clock;
        this.headerNames = headerNames;
        this.link = link;
        this.bodyScheduler = new RequestBodyScheduler(link.incoming());
        this.waits = new OwnerWaits(clock, queue, bodyScheduler, running::size);
        this.dispatchTimer = new DispatchTimer(clock, this::dispatch);
        this.registry = new BackendRegistry(
                clock, poolFactory, heartbeatNanos, new Instruments(counters, log), this::onBackendChanged);
        this.statements = new BackendStatements(clock, headerNames, log, registry::onLeaveStated, this::dispatch);
        this.counters = counters;
        this.log = log;
        this.onBackendChange = onBackendChange;
        this.quarantine = quarantine;
        this.callOrigins = new CallOrigins(vmsByService);
    }

    /** Sets what decides whether the backend server gets requests, considering its version. */
    public void setVersionGate(VersionGate gate) {
        versionGate = gate;
    }

    /** Records how a request ended that the backend server ran; its slow start does not count. */
    void onRunEnded(Backend server, CallSpec call, long nanos, boolean failed) {
        if (server.warmUpNanos(clock.now() - nanos) == 0) {
            versionGate.onRunEnded(call, nanos, failed);
        }
    }

    /** Starts queued requests, or refuses them, after the gate has changed its decision. */
    public void onVersionGateChanged() {
        dispatch();
    }

    /** The current incarnation of the backend server, empty until one is known. */
    public Optional<Backend> backend() {
        return registry.current();
    }

    /** Current load of the backend server, {@link OwnerLoad#NONE} until one is known. */
    public OwnerLoad load() {
        long now = clock.now();
        return registry.current()
                .map(server -> new OwnerLoad(
                        running.size(),
                        queuedCount(),
                        server.slots(),
                        server.serviceTimeEstimator().meanNanos(),
                        running.lostPerMille(server.lossRate(), now),
                        link.incoming().busyNanos(),
                        link.outgoing().busyNanos(),
                        server.startLimiter().intervalNanos(),
                        server.startLimiter().waitNanos(queuedCount(), now),
                        server.speed().statedPercentAt(now)))
                .orElse(OwnerLoad.NONE);
    }

    private int queuedCount() {
        return queue.size() + bodyScheduler.size();
    }

    /** Service time of each class of requests that the backend server has answered. */
    public List<ServiceTimeDistribution> serviceTimes() {
        return registry.current()
                .map(server -> server.serviceTimeEstimator().distributions(callOrigins::areCalls))
                .orElse(List.of());
    }

    /** Sets where leaves are recorded, called before the first report. */
    public void setDepartureRecord(DepartureRecord record) {
        registry.setDepartureRecord(record);
    }

    /** Whether the incarnations that have left according to the record are known. */
    boolean areDeparturesKnown() {
        return registry.areDeparturesKnown();
    }

    /** Takes over the incarnations that have left according to the record. */
    public void onDeparturesRead(List<Incarnation> incarnations) {
        registry.onDeparturesRead(incarnations);
        dispatch();
    }

    /**
     * Processes what another node has last heard of an incarnation from an earlier process of this node.
     *
     * @param incarnation the incarnation
     * @param state its state then
     */
    public void onFormerState(Incarnation incarnation, BackendState state) {
        registry.onFormerState(incarnation, state);
        dispatch();
    }

    /**
     * Processes a heartbeat of a backend server that is ready; ignores one that is older than the current state, or
     * from an incarnation that has left.
     */
    public void onReport(BackendReport report) {
        registry.onReport(report, BackendEvidence.HEARTBEAT);
        dispatch();
    }

    /** Processes what a health check has found. */
    void onHealthy(BackendReport report) {
        registry.onReport(report, BackendEvidence.HEALTH_CHECK);
        dispatch();
    }

    /**
     * Processes a heartbeat in which a backend server says that it drains.
     *
     * @param report the heartbeat
     * @param onRecorded runs when the leave outlasts this process, and may be acknowledged
     */
    public void onDraining(BackendReport report, Runnable onRecorded) {
        registry.onDraining(report, onRecorded);
    }

    /**
     * Processes the deregistration of a backend server, which has stopped or is about to stop.
     *
     * @param id id of the incarnation
     * @param onRecorded runs when the leave outlasts this process, and may be acknowledged
     */
    public void onLeave(String id, Runnable onRecorded) {
        registry.onDeregistered(id, onRecorded);
    }

    /** Whether an incarnation is known to have said that it leaves. */
    public boolean hasLeft(Incarnation incarnation) {
        return registry.hasLeft(incarnation);
    }

    /** Whether the latest start of an id that was reported ready is known to have said that it leaves. */
    public boolean hasLatestLeft(String id) {
        return registry.hasLatestLeft(id);
    }

    /** Called when the backend server has sent a response to another request than the one that waits. */
    void onOtherResponse(String id, String otherId) {
        counters.increment(NodeMetricNames.OWNER_DISCARDED);
        log.write(Event.ANSWER_DISCARDED, "id", id, "belongsTo", otherId);
    }

    /** Processes the head of a response of a backend server. */
    void onResponseHead(Backend responder, HttpHeaders headers) {
        statements.onResponseHead(responder, headers);
    }

    /**
     * Records that an incarnation ended while it ran a request. The end of one that is draining is planned.
     *
     * @param exited the incarnation
     * @param request the request
     * @param knownCrashes crashes of the request in succession that were known when it was sent
     */
    Optional<SuspectReport.Crashed> onCrashed(Backend exited, RequestFingerprint request, int knownCrashes) {
        exited.runningAtExit().add(request);
        return exited.state() == BackendState.DRAINING
                ? Optional.empty()
                : Optional.of(quarantine.onCrashed(request, exited.incarnation().text(), knownCrashes));
    }

    private void onBackendChanged() {
        onBackendChange.run();
        dispatch();
    }

    /**
     * Closes idle connections to the backend server, and marks it absent if nothing has been received from it for too
     * long, unless it is running a request that is not overdue. Called about once a second.
     */
    public void tick() {
        registry.tick(running);
    }

    /** Refuses queued and new requests from now on; running requests continue. */
    public void stop() {
        stopping = true;
        refuseQueued(Refusal.Reason.LEAVING);
    }

    /** Number of running requests whose response head has been forwarded. */
    public int respondingCount() {
        return running.respondingCount();
    }

    /** Number of running and queued requests. */
    public int pendingCount() {
        return running.size() + queuedCount();
    }

    /** Whether requests for a service are accepted here now. */
    public boolean acceptsRequestsFor(String service) {
        return !stopping
                && registry.current()
                        .filter(server -> server.state() == BackendState.READY
                                && server.service().equals(service)
                                && versionGate.admits(server))
                        .isPresent();
    }

    /**
     * Admits or refuses a request. An admitted request whose body is incomplete first waits for the body, then for a
     * slot.
     *
     * @param call the request; its body is duplicated when it is sent
     * @param listener is notified of the response, the refusal or the loss of the request
     */
    public Attempt offer(CallSpec call, AttemptListener listener) {
        long advanceNanos = startRateBalancer.onOffered(call, clock.now());
        callOrigins.onRequest(call.requestClass(), call.callerService());
        OwnerRun run = new OwnerRun(this, call, listener, advanceNanos, callOrigins.areCalls(call.requestClass()));
        Optional<Refusal.Reason> reason = refusalReason(run);
        if (reason.isPresent()) {
            counters.increment(NodeMetricNames.OWNER_REFUSED_BY_REASON + reason.get());
            // Deferred, so that the caller holds the attempt before its listener is notified of the refusal.
            clock.defer(() -> run.refuse(reason.get(), false));
            return run;
        }
        run.announcement().announce();
        if (call.body().isComplete()) {
            enqueue(run);
        } else {
            run.awaitBody();
            bodyScheduler.add(run, waits.isTimely(run, registry.current().orElseThrow()), clock.now());
        }
        return run;
    }

    /** A part of a request body has arrived, which leaves room on the link for further bodies. */
    void onBodyPart() {
        bodyScheduler.requestBodies(clock.now());
    }

    /** The body of a request is complete. */
    void onBodyComplete(OwnerRun run) {
        if (bodyScheduler.remove(run, clock.now())) {
            enqueue(run);
        }
    }

    private void enqueue(OwnerRun run) {
        if (waits.isTimely(run, registry.current().orElseThrow())) {
            queue.addTimely(run);
        } else {
            queue.addLate(run);
        }
        dispatch();
        run.startSlotTimeout();
    }

    private Optional<Refusal.Reason> refusalReason(OwnerRun run) {
        CallSpec call = run.call();
        if (stopping) {
            return Optional.of(Refusal.Reason.LEAVING);
        }
        if (!acceptsRequestsFor(call.service())) {
            return Optional.of(Refusal.Reason.NOT_HERE);
        }
        if (isQuarantined(call)) {
            return Optional.of(Refusal.Reason.QUARANTINED);
        }
        Backend server = registry.current().orElseThrow();
        run.setServiceTime(server.serviceTimeEstimator().distribution(call), server.speed());
        long now = clock.now();
        if (!run.canMeetDeadline(now)) {
            // A server that is slow for a moment is no reason not to ask another one.
            return Optional.of(run.canMeetDeadlineAtUsualSpeed(now) ? Refusal.Reason.BUSY : Refusal.Reason.EXPIRED);
        }
        long linkWaitNanos = run.linkWaitNanos();
        if (waits.canStartNow(server) && call.body().isComplete() && linkWaitNanos == 0) {
            return Optional.empty();
        }
        long waitNanos = Math.max(
                Math.max(waits.expectedNanos(run, server), linkWaitNanos),
                bodyScheduler.transferNanosAhead(call.body()));
        boolean queueFull = queuedCount() >= MAX_QUEUED_PER_SLOT * server.slots()
                || !(waits.isTimely(run, server) || queue.acceptsLate(server.slots()));
        if (queueFull
                || waitNanos > call.maxWaitNanos()
                || !run.canMeetDeadline(now + waitNanos + bodyScheduler.transferNanos(call.body()))) {
            countIfLimited(server, now);
            return Optional.of(Refusal.Reason.BUSY);
        }
        return Optional.empty();
    }

    private void countIfLimited(Backend server, long now) {
        if (server.startLimiter().waitNanos(queue.size(), now) > 0) {
            counters.increment(NodeMetricNames.OWNER_REFUSED_BY_LIMIT);
        }
    }

    private boolean isQuarantined(CallSpec call) {
        return quarantine.remainingHoldNanos(call.uri(), call::fingerprint) > 0;
    }

    private void dispatch() {
        Backend server = registry.current().orElse(null);
        if (server == null || server.state() != BackendState.READY || stopping || !versionGate.admits(server)) {
            refuseQueued(stopping ? Refusal.Reason.LEAVING : Refusal.Reason.NOT_HERE);
            return;
        }
        long now = clock.now();
        while (running.size() < server.slots()) {
            long limitWaitNanos = server.startLimiter().waitNanos(0, now);
            if (limitWaitNanos > 0) {
                if (queue.size() > 0) {
                    dispatchTimer.runBy(now + limitWaitNanos);
                }
                return;
            }
            Optional<OwnerRun> next = queue.poll(now);
            if (next.isEmpty()) {
                return;
            }
            startRun(next.get(), server);
        }
    }

    private void startRun(OwnerRun run, Backend server) {
        if (!run.call().service().equals(server.service())) {
            run.refuse(Refusal.Reason.NOT_HERE, false);
            return;
        }
        if (isQuarantined(run.call())) {
            // The crash became known while the request was queued or its body arrived.
            counters.increment(NodeMetricNames.OWNER_REFUSED_BY_REASON + Refusal.Reason.QUARANTINED);
            run.refuse(Refusal.Reason.QUARANTINED, false);
            return;
        }
        running.add(run);
        startRateBalancer.onStarted(run.call(), clock.now());
        server.startLimiter().onStarted(clock.now());
        run.start(server, headerNames);
    }

    private void refuseQueued(Refusal.Reason reason) {
        List<OwnerRun> refused = queue.removeAll();
        refused.addAll(bodyScheduler.removeAll());
        for (OwnerRun run : refused) {
            run.refuse(reason, false);
        }
    }

    void onFinished(OwnerRun run) {
        queue.remove(run);
        bodyScheduler.remove(run, clock.now());
        if (running.remove(run)) {
            // Deferred, because a request may end while dispatch() is starting others.
            clock.defer(this::dispatch);
        }
    }

    long nextArrivalNumber() {
        return ++lastArrivalNumber;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    OutgoingLink outgoingLink() {
        return link.outgoing();
    }

    Clock clock() {
        return clock;
    }

    Counters counters() {
        return counters;
    }

    EventLog log() {
        return log;
    }
}
