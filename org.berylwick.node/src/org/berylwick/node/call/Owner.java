package org.berylwick.node.call;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.KindTime;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.OutgoingLink;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnections;
import org.berylwick.node.transport.VmLink;

/**
 * The only way to the backend server beside this node: counts its slots, queues, and sends; confined to the event loop.
 *
 * <p>Since nobody else can reach the backend server, a slot counted here is a slot, a refusal from here is true, and a
 * leave acknowledged here is in force everywhere at once.
 */
public final class Owner {
    /** Requests that may wait for a slot, for each slot. */
    private static final int MAX_QUEUED_PER_SLOT = 8;
    /** Incarnations remembered after they left, so that a late heartbeat does not bring them back. */
    private static final int MAX_DEPARTED_INCARNATIONS = 64;
    /**
     * A backend server that reports and answers nothing for this many of its intervals is no longer believed to be
     * there.
     */
    private static final int MAX_MISSED_HEARTBEATS = 6;
    /** The same for one at which requests are overdue: either sign alone may be chance, both together are not. */
    private static final int MAX_MISSED_HEARTBEATS_WHEN_OVERDUE = 2;
    /** One overdue request among few tells little: the part is taken of this many at least. */
    private static final int MIN_RUNNING_FOR_LOSS_RATE = 4;

    private final Clock clock;
    private final Function<InetSocketAddress, ServerConnections> connector;
    private final HeaderNames headerNames;
    private final VmLink link;
    private final long heartbeatNanos;
    private final Counters counters;
    private final EventLog log;
    private final Runnable onBackendChange;
    private final RunQueue queue = new RunQueue();
    private final BodyGate bodyAdmission;

    private final ServedShares servedShares = new ServedShares();
    private final Set<OwnerRun> running = new HashSet<>();
    private final Map<String, Boolean> departedIncarnations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_DEPARTED_INCARNATIONS;
        }
    };
    private Optional<Backend> backend = Optional.empty();
    private boolean stopping;
    private long lastSequenceNumber;

    /**
     * @param clock tells the time; all runs where its tasks do
     * @param connector opens connections to a backend server
     * @param headerNames headers that the backend server knows
     * @param link of this VM
     * @param heartbeatNanos between two heartbeats of the backend server
     * @param counters takes counts
     * @param log takes events
     * @param onBackendChange hears that the backend server's state changed
     */
    public Owner(
            Clock clock,
            Function<InetSocketAddress, ServerConnections> connector,
            HeaderNames headerNames,
            VmLink link,
            long heartbeatNanos,
            Counters counters,
            EventLog log,
            Runnable onBackendChange) {
        this.clock = clock;
        this.connector = connector;
        this.headerNames = headerNames;
        this.link = link;
        this.bodyAdmission = new BodyGate(link.incoming());
        this.heartbeatNanos = heartbeatNanos;
        this.counters = counters;
        this.log = log;
        this.onBackendChange = onBackendChange;
    }

    /** The backend server as last reported. */
    public Optional<Backend> backend() {
        return backend;
    }

    /** How busy it is. */
    public OwnerLoad load() {
        long now = clock.now();
        return backend.map(server -> new OwnerLoad(
                        running.size(),
                        queuedCount(),
                        server.slots(),
                        server.serviceTimes().meanNanos(),
                        lostPerMille(server, now),
                        link.incoming().busyNanos(),
                        link.outgoing().busyNanos()))
                .orElse(OwnerLoad.NONE);
    }

    private int queuedCount() {
        return queue.size() + bodyAdmission.size();
    }

    /** How long it takes for each kind of request that it has seen. */
    public List<KindTime> serviceTimes() {
        return backend.map(server -> server.serviceTimes().times()).orElse(List.of());
    }

    /**
     * The part of its requests that it loses. Overdue ones count before their deadline tells: a backend server that
     * falls silent would else be sent all that its slots hold, and answer none.
     */
    private int lostPerMille(Backend server, long now) {
        int overduePerMille = 1_000 * overdueCount(now) / Math.max(MIN_RUNNING_FOR_LOSS_RATE, running.size());
        return Math.max(server.losses().perMille(now), overduePerMille);
    }

    private int overdueCount(long now) {
        int count = 0;
        for (OwnerRun run : running) {
            if (run.isOverdue(now)) {
                count++;
            }
        }
        return count;
    }

    /** Takes a heartbeat; one that is older than what is known changes nothing. */
    public void onReport(BackendReport report) {
        if (departedIncarnations.containsKey(report.incarnation())) {
            log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "it has left");
            return;
        }
        Backend current = backend.orElse(null);
        if (current != null && current.incarnation().equals(report.incarnation())) {
            if (report.sequence() < current.sequence()) {
                log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "older");
                return;
            }
            boolean changed = current.applyReport(report, clock.now());
            if (changed) {
                notifyBackendChange(current);
            }
            dispatch();
            return;
        }
        if (current != null && current.isMoreRecentThan(report, 2 * heartbeatNanos, clock.now())) {
            log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "earlier incarnation");
            return;
        }
        if (current != null) {
            retire(current, "another incarnation took its place");
        }
        Backend replacement = new Backend(report, connector.apply(report.address()), clock.now());
        backend = Optional.of(replacement);
        notifyBackendChange(replacement);
        dispatch();
    }

    /** The backend server says that it is gone, or will be in a moment. */
    public void onLeave(String incarnation) {
        departedIncarnations.put(incarnation, Boolean.TRUE);
        Backend current = backend.orElse(null);
        if (current == null || !current.incarnation().equals(incarnation)) {
            return;
        }
        current.startDraining();
        notifyBackendChange(current);
        dispatch();
    }

    private void retire(Backend retired, String reason) {
        departedIncarnations.put(retired.incarnation(), Boolean.TRUE);
        log.write(Event.BACKEND_CHANGED, "incarnation", retired.incarnation(), "state", "RETIRED", "why", reason);
        retired.pool().close();
    }

    private void notifyBackendChange(Backend changed) {
        log.write(
                Event.BACKEND_CHANGED,
                "incarnation",
                changed.incarnation(),
                "service",
                changed.service(),
                "state",
                changed.state(),
                "slots",
                changed.slots(),
                "sequence",
                changed.sequence(),
                "warmUpMs",
                changed.warmUpNanos(clock.now()) / 1_000_000);
        onBackendChange.run();
    }

    /** Notices a backend server that fell silent; called about once a second. */
    public void tick() {
        long now = clock.now();
        backend.ifPresent(server -> server.pool().trim());
        Backend current = backend.orElse(null);
        if (current == null || current.state() == BackendState.ABSENT) {
            return;
        }
        boolean allOverdue = !running.isEmpty() && overdueCount(now) == running.size();
        if (!allOverdue && !running.isEmpty()) {
            return;
        }
        long maxMissed = allOverdue ? MAX_MISSED_HEARTBEATS_WHEN_OVERDUE : MAX_MISSED_HEARTBEATS;
        if (now - current.lastActivityAt() > maxMissed * heartbeatNanos) {
            current.markAbsent();
            notifyBackendChange(current);
            dispatch();
        }
    }

    /** Refuses new work from now on; what runs goes on. */
    public void stop() {
        stopping = true;
        refuseQueued(Refusal.Reason.LEAVING);
    }

    /** Requests that run here and whose answer has begun. */
    public int respondingCount() {
        int count = 0;
        for (OwnerRun run : running) {
            if (run.isResponding()) {
                count++;
            }
        }
        return count;
    }

    /** Requests that run or wait here. */
    public int pendingCount() {
        return running.size() + queuedCount();
    }

    /** Whether requests of a service can be run here now. */
    public boolean acceptsRequestsFor(String service) {
        return !stopping
                && backend.filter(server -> server.state() == BackendState.READY
                                && server.service().equals(service))
                        .isPresent();
    }

    /**
     * Takes a request, or refuses it at once; one whose body is still coming waits for that first.
     *
     * @param call the request; its body is duplicated when it is sent
     * @param listener hears what becomes of it
     */
    public Attempt offer(CallSpec call, AttemptListener listener) {
        long advanceNanos = servedShares.onOffered(call, clock.now());
        OwnerRun run = new OwnerRun(this, call, listener, advanceNanos);
        Optional<Refusal.Reason> reason = refusalReason(run);
        if (reason.isPresent()) {
            counters.add(NodeMetricNames.OWNER_REFUSED_BY_REASON + reason.get());
            // Told later, so that the caller has the attempt in hand before it hears of its end.
            clock.soon(() -> run.refuse(reason.get(), false));
            return run;
        }
        run.announceResponse();
        if (call.body().isWhole()) {
            enqueue(run);
        } else {
            run.awaitBody();
            bodyAdmission.add(run, isTimely(run), clock.now());
        }
        return run;
    }

    /** A part of a request's body has come. */
    void onBodyPart() {
        bodyAdmission.askOn(clock.now());
    }

    /** All of a request is there. */
    void onBodyComplete(OwnerRun run) {
        if (bodyAdmission.remove(run, clock.now())) {
            enqueue(run);
        }
    }

    private void enqueue(OwnerRun run) {
        if (isTimely(run)) {
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
        Backend server = backend.orElseThrow();
        run.setServiceTime(server.serviceTimes().time(call));
        long now = clock.now();
        if (!run.canMeetDeadline(now)) {
            return Optional.of(Refusal.Reason.EXPIRED);
        }
        long linkWaitNanos = run.linkWaitNanos();
        if (running.size() < server.slots() && call.body().isWhole() && linkWaitNanos == 0) {
            return Optional.empty();
        }
        long waitNanos = Math.max(
                Math.max(expectedWaitNanos(run, server), linkWaitNanos), bodyAdmission.aheadNanos(call.body()));
        boolean queueFull = queuedCount() >= MAX_QUEUED_PER_SLOT * server.slots()
                || !(isTimely(run) || queue.takesLate(server.slots()));
        if (queueFull
                || waitNanos > call.maxWaitNanos()
                || !run.canMeetDeadline(now + waitNanos + bodyAdmission.comingNanos(call.body()))) {
            return Optional.of(Refusal.Reason.BUSY);
        }
        return Optional.empty();
    }

    /** Whether a request can meet its objective behind those that would go before it. */
    private boolean isTimely(OwnerRun run) {
        Backend server = backend.orElseThrow();
        int ahead = running.size() + queue.timelyBefore(run);
        RequestBody body = run.call().body();
        long slotWaitNanos = Math.max(
                slotWaitNanos(ahead, server), bodyAdmission.aheadNanos(body) + bodyAdmission.comingNanos(body));
        long waitNanos = Math.max(slotWaitNanos, run.linkWaitNanos());
        return run.canMeetObjective(clock.now() + waitNanos);
    }

    private long expectedWaitNanos(OwnerRun run, Backend server) {
        int queuedAhead = isTimely(run) ? queue.timelyBefore(run) : queue.size();
        return slotWaitNanos(running.size() + queuedAhead, server);
    }

    private static long slotWaitNanos(int ahead, Backend server) {
        return new OwnerLoad(0, 0, server.slots(), server.serviceTimes().meanNanos()).waitNanos(ahead);
    }

    private void dispatch() {
        Backend server = backend.orElse(null);
        if (server == null || server.state() != BackendState.READY || stopping) {
            refuseQueued(stopping ? Refusal.Reason.LEAVING : Refusal.Reason.NOT_HERE);
            return;
        }
        long now = clock.now();
        while (running.size() < server.slots()) {
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
        running.add(run);
        servedShares.onStarted(run.call(), clock.now());
        run.start(server, headerNames);
    }

    private void refuseQueued(Refusal.Reason reason) {
        List<OwnerRun> refused = queue.drain();
        refused.addAll(bodyAdmission.drain());
        for (OwnerRun run : refused) {
            run.refuse(reason, false);
        }
    }

    void onFinished(OwnerRun run) {
        queue.remove(run);
        bodyAdmission.remove(run, clock.now());
        if (running.remove(run)) {
            // Later, since one that ends may do so while others are being started.
            clock.soon(this::dispatch);
        }
    }

    long nextSequenceNumber() {
        return ++lastSequenceNumber;
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
