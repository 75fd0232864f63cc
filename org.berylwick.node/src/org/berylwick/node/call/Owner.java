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
import org.berylwick.node.transport.ServerConnectionPool;
import org.berylwick.node.transport.VmLink;

/**
 * The only way to the backend server beside this node: counts its slots, queues, and sends; confined to the event loop.
 *
 * <p>Since nobody else can reach the backend server, a slot counted here is a slot, a refusal from here is true, and a
 * leave acknowledged here is in force everywhere at once.
 */
public final class Owner {
    /** Requests that may wait for a slot, for each slot. */
    private static final int QUEUE_PER_SLOT = 8;
    /** Incarnations remembered after they left, so that a late heartbeat does not bring them back. */
    private static final int REMEMBERED_LEAVES = 64;
    /**
     * A backend server that reports and answers nothing for this many of its intervals is no longer believed to be
     * there.
     */
    private static final int MISSED_HEARTBEATS = 6;
    /** The same for one at which requests are overdue: either sign alone may be chance, both together are not. */
    private static final int MISSED_WHEN_OVERDUE = 2;
    /** One overdue request among few tells little: the part is taken of this many at least. */
    private static final int LEAST_RUNNING = 4;

    private final Clock clock;
    private final Function<InetSocketAddress, ServerConnectionPool> connector;
    private final HeaderNames names;
    private final VmLink link;
    private final long heartbeatNanos;
    private final Counters counters;
    private final EventLog log;
    private final Runnable onChange;
    private final RunQueue queue = new RunQueue();
    private final BodyGate gate;

    private final ServedShares shares = new ServedShares();
    private final Set<OwnerRun> running = new HashSet<>();
    private final Map<String, Boolean> left = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_LEAVES;
        }
    };
    private Optional<Backend> backend = Optional.empty();
    private boolean stopping;
    private long lastNumber;

    /**
     * @param clock tells the time; all runs where its tasks do
     * @param connector opens connections to a backend server
     * @param names headers that the backend server knows
     * @param link of this VM
     * @param heartbeatNanos between two heartbeats of the backend server
     * @param counters takes counts
     * @param log takes events
     * @param onChange hears that the backend server's state changed
     */
    public Owner(
            Clock clock,
            Function<InetSocketAddress, ServerConnectionPool> connector,
            HeaderNames names,
            VmLink link,
            long heartbeatNanos,
            Counters counters,
            EventLog log,
            Runnable onChange) {
        this.clock = clock;
        this.connector = connector;
        this.names = names;
        this.link = link;
        this.gate = new BodyGate(link.incoming());
        this.heartbeatNanos = heartbeatNanos;
        this.counters = counters;
        this.log = log;
        this.onChange = onChange;
    }

    /** The backend server as last reported. */
    public Optional<Backend> backend() {
        return backend;
    }

    /** How busy it is. */
    public OwnerLoad load() {
        long now = clock.now();
        return backend.map(b -> new OwnerLoad(
                        running.size(),
                        waiting(),
                        b.slots(),
                        b.times().meanNanos(),
                        lostPerMille(b, now),
                        link.incoming().busyNanos(),
                        link.outgoing().busyNanos()))
                .orElse(OwnerLoad.NONE);
    }

    private int waiting() {
        return queue.size() + gate.size();
    }

    /** How long it takes for each kind of request that it has seen. */
    public List<KindTime> times() {
        return backend.map(b -> b.times().times()).orElse(List.of());
    }

    /**
     * The part of its requests that it loses. Overdue ones count before their deadline tells: a backend server that
     * falls silent would else be sent all that its slots hold, and answer none.
     */
    private int lostPerMille(Backend b, long now) {
        int overdue = 1_000 * overdue(now) / Math.max(LEAST_RUNNING, running.size());
        return Math.max(b.losses().perMille(now), overdue);
    }

    private int overdue(long now) {
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
        if (left.containsKey(report.incarnation())) {
            log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "it has left");
            return;
        }
        Backend known = backend.orElse(null);
        if (known != null && known.incarnation().equals(report.incarnation())) {
            if (report.sequence() < known.sequence()) {
                log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "older");
                return;
            }
            boolean changed = known.update(report, clock.now());
            if (changed) {
                tellChange(known);
            }
            dispatch();
            return;
        }
        if (known != null && known.supersedes(report, 2 * heartbeatNanos, clock.now())) {
            log.write(Event.BACKEND_REPORT_IGNORED, "incarnation", report.incarnation(), "why", "earlier incarnation");
            return;
        }
        if (known != null) {
            retire(known, "another incarnation took its place");
        }
        Backend fresh = new Backend(report, connector.apply(report.address()), clock.now());
        backend = Optional.of(fresh);
        tellChange(fresh);
        dispatch();
    }

    /** The backend server says that it is gone, or will be in a moment. */
    public void onLeave(String incarnation) {
        left.put(incarnation, Boolean.TRUE);
        Backend known = backend.orElse(null);
        if (known == null || !known.incarnation().equals(incarnation)) {
            return;
        }
        known.drain();
        tellChange(known);
        dispatch();
    }

    private void retire(Backend known, String why) {
        left.put(known.incarnation(), Boolean.TRUE);
        log.write(Event.BACKEND_CHANGED, "incarnation", known.incarnation(), "state", "RETIRED", "why", why);
        known.pool().close();
    }

    private void tellChange(Backend known) {
        log.write(
                Event.BACKEND_CHANGED,
                "incarnation",
                known.incarnation(),
                "service",
                known.service(),
                "state",
                known.state(),
                "slots",
                known.slots(),
                "sequence",
                known.sequence(),
                "warmUpMs",
                known.warmUpNanos(clock.now()) / 1_000_000);
        onChange.run();
    }

    /** Notices a backend server that fell silent; called about once a second. */
    public void tick() {
        long now = clock.now();
        backend.ifPresent(b -> b.pool().evictIdle());
        Backend known = backend.orElse(null);
        if (known == null || known.state() == BackendState.ABSENT) {
            return;
        }
        boolean stuck = !running.isEmpty() && overdue(now) == running.size();
        if (!stuck && !running.isEmpty()) {
            return;
        }
        long missed = stuck ? MISSED_WHEN_OVERDUE : MISSED_HEARTBEATS;
        if (now - known.heardAt() > missed * heartbeatNanos) {
            known.fallSilent();
            tellChange(known);
            dispatch();
        }
    }

    /** Refuses new work from now on; what runs goes on. */
    public void stop() {
        stopping = true;
        refuseQueue(Refusal.Reason.LEAVING);
    }

    /** Requests that run here and whose answer has begun. */
    public int answering() {
        int count = 0;
        for (OwnerRun run : running) {
            if (run.isAnswering()) {
                count++;
            }
        }
        return count;
    }

    /** Requests that run or wait here. */
    public int pending() {
        return running.size() + waiting();
    }

    /** Whether requests of a service can be run here now. */
    public boolean takesWork(String service) {
        return !stopping
                && backend.filter(b ->
                                b.state() == BackendState.READY && b.service().equals(service))
                        .isPresent();
    }

    /**
     * Takes a request, or refuses it at once; one whose body is still coming waits for that first.
     *
     * @param call the request; its body is duplicated when it is sent
     * @param listener hears what becomes of it
     */
    public Attempt offer(CallSpec call, AttemptListener listener) {
        long forward = shares.onOffered(call, clock.now());
        OwnerRun run = new OwnerRun(this, call, listener, forward);
        Optional<Refusal.Reason> reason = reasonAgainst(run);
        if (reason.isPresent()) {
            counters.increment(NodeMetricNames.OWNER_REFUSED_BY_REASON + reason.get());
            // Told later, so that the caller has the attempt in hand before it hears of its end.
            clock.soon(() -> run.refuse(reason.get(), false));
            return run;
        }
        run.announceAnswer();
        if (call.body().isComplete()) {
            enqueue(run);
        } else {
            run.awaitBody();
            gate.add(run, isTimely(run), clock.now());
        }
        return run;
    }

    /** A part of a request's body has come. */
    void onPart() {
        gate.askOn(clock.now());
    }

    /** All of a request is there. */
    void onArrived(OwnerRun run) {
        if (gate.remove(run, clock.now())) {
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
        run.waitForSlot();
    }

    private Optional<Refusal.Reason> reasonAgainst(OwnerRun run) {
        CallSpec call = run.call();
        if (stopping) {
            return Optional.of(Refusal.Reason.LEAVING);
        }
        if (!takesWork(call.service())) {
            return Optional.of(Refusal.Reason.NOT_HERE);
        }
        Backend b = backend.orElseThrow();
        run.expect(b.times().time(call));
        long now = clock.now();
        if (!run.canMeetDeadline(now)) {
            return Optional.of(Refusal.Reason.EXPIRED);
        }
        long linkWait = run.waitForLink();
        if (running.size() < b.slots() && call.body().isComplete() && linkWait == 0) {
            return Optional.empty();
        }
        long wait = Math.max(Math.max(waitFor(run, b), linkWait), gate.aheadNanos(call.body()));
        boolean full = waiting() >= QUEUE_PER_SLOT * b.slots() || !(isTimely(run) || queue.takesLate(b.slots()));
        if (full || wait > call.maxWaitNanos() || !run.canMeetDeadline(now + wait + gate.comingNanos(call.body()))) {
            return Optional.of(Refusal.Reason.BUSY);
        }
        return Optional.empty();
    }

    /** Whether a request can meet its objective behind those that would go before it. */
    private boolean isTimely(OwnerRun run) {
        Backend b = backend.orElseThrow();
        int ahead = running.size() + queue.timelyBefore(run);
        RequestBody body = run.call().body();
        long slotWait = Math.max(waitBehind(ahead, b), gate.aheadNanos(body) + gate.comingNanos(body));
        long wait = Math.max(slotWait, run.waitForLink());
        return run.canMeetObjective(clock.now() + wait);
    }

    private long waitFor(OwnerRun run, Backend b) {
        int waiting = isTimely(run) ? queue.timelyBefore(run) : queue.size();
        return waitBehind(running.size() + waiting, b);
    }

    private static long waitBehind(int ahead, Backend b) {
        return new OwnerLoad(0, 0, b.slots(), b.times().meanNanos()).waitNanos(ahead);
    }

    private void dispatch() {
        Backend b = backend.orElse(null);
        if (b == null || b.state() != BackendState.READY || stopping) {
            refuseQueue(stopping ? Refusal.Reason.LEAVING : Refusal.Reason.NOT_HERE);
            return;
        }
        long now = clock.now();
        while (running.size() < b.slots()) {
            Optional<OwnerRun> next = queue.poll(now);
            if (next.isEmpty()) {
                return;
            }
            begin(next.get(), b);
        }
    }

    private void begin(OwnerRun run, Backend b) {
        if (!run.call().service().equals(b.service())) {
            run.refuse(Refusal.Reason.NOT_HERE, false);
            return;
        }
        running.add(run);
        shares.onStarted(run.call(), clock.now());
        run.start(b, names);
    }

    private void refuseQueue(Refusal.Reason reason) {
        List<OwnerRun> refused = queue.drain();
        refused.addAll(gate.drain());
        for (OwnerRun run : refused) {
            run.refuse(reason, false);
        }
    }

    void onOver(OwnerRun run) {
        queue.remove(run);
        gate.remove(run, clock.now());
        if (running.remove(run)) {
            // Later, since one that ends may do so while others are being started.
            clock.soon(this::dispatch);
        }
    }

    long nextNumber() {
        return ++lastNumber;
    }

    OutgoingLink outgoing() {
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
