package org.berylwick.daemon.call;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.CommonPools;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.idempotency.KeyDuty;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.SlotLimits;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.internal.routing.PeerLoads;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TimeSource;

/** Creates and owns the components that process requests in this daemon. */
public final class CallPath implements KernelService {
    /** Name of this service in the kernel. */
    public static final String NAME = "call-path";

    private static final EventLog EVENTS = new EventLog(CallPath.class);
    private static final int DEFAULT_SLOTS = 12;
    private static final int DEFAULT_QUEUE_LIMIT = 48;
    private static final long LEAVE_PROPAGATION_MILLIS = 2_000;
    private static final long CONNECTION_CLOSE_MILLIS = 1_000;
    private static final long DRAIN_TIMEOUT_MILLIS = 600_000;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final String instance;
    private final PeerClients peerClients = new PeerClients();
    private final BackendServerClient backendClient;
    private final SlotLimiter limiter;
    private final Owner localOwner;
    private final EntryService entryService;
    private final OwnerService ownerService;
    private final MembershipTable membership;
    private final CallMetrics metrics;
    private final Invariants invariants;
    private final TimeSource time;

    /**
     * Creates the call path of a daemon.
     *
     * @param keys decides which of the requests with the same idempotency key is run
     * @param localState supplies the state of this daemon's own member, which decides whether requests are accepted
     */
    public CallPath(
            DaemonSettings settings,
            InstalledVersion installed,
            MembershipTable membership,
            KeyDuty keys,
            Supplier<Member.State> localState,
            MetricRegistry registry,
            Invariants invariants,
            TimeSource time) {
        this.instance = settings.instance();
        this.membership = membership;
        this.invariants = invariants;
        this.time = time;
        metrics = new CallMetrics(registry);
        backendClient = new BackendServerClient(settings.backendServer().address());
        limiter = new SlotLimiter(
                time,
                (deadline, task) -> CommonPools.workerGroup()
                        .next()
                        .schedule(task, Math.max(0, deadline.remainingNanos(time)), TimeUnit.NANOSECONDS),
                registry,
                invariants,
                SlotLimits.ofAllClasses(DEFAULT_SLOTS, DEFAULT_QUEUE_LIMIT));
        PeerLoads loads =
                new PeerLoads(membership::view, new PeerLoads.LocalLoad(instance, limiter::load), time, registry);
        MemberChooser chooser = new MemberChooser(settings.place(), loads, time, registry, ThreadLocalRandom::current);
        CrashGuard crashGuard =
                new CrashGuard(instance, settings.backendServer().address(), registry, time);
        localOwner = new Owner(limiter, backendClient, localState, metrics, invariants, time, crashGuard);
        PeerSender sender = new PeerSender(peerClients, time, crashGuard);
        Forwarder forwarder = new Forwarder(
                instance, localOwner, sender, chooser, loads, membership, metrics, invariants, time, crashGuard);
        entryService = new EntryService(
                installed, membership, new IdempotencyKeyForwarder(forwarder, keys, time), metrics, time);
        ownerService = new OwnerService(instance, localOwner, time);
        String service = settings.backendServer().service();
        installed.addListener(inForce -> {
            Configuration configuration = inForce.snapshot().configuration();
            ServiceSpec spec = configuration.services().get(service);
            if (spec != null) {
                limiter.setLimits(SlotLimits.of(configuration, spec));
            }
        });
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Sets what to do when the backend server states in a response that it is about to stop. */
    public void setLeaveListener(Runnable listener) {
        localOwner.setLeaveListener(listener);
    }

    /** Returns the service for callers. */
    public EntryService entryService() {
        return entryService;
    }

    /** Returns the service for other daemons. */
    public OwnerService ownerService() {
        return ownerService;
    }

    /**
     * Waits until no call is in progress in this daemon, at most ten minutes. This daemon's member must already be
     * announced as leaving.
     *
     * <p>The entry accepts requests as before until other members have had time to learn that this one is leaving and
     * the backend server has finished its requests, since these may call other services through this daemon. Then the
     * connections of callers are closed and no new ones are accepted: as long as callers could connect, new requests
     * would keep arriving and draining would not end.
     *
     * @param closeListener stops accepting connections from callers
     */
    public void drain(Runnable closeListener) throws InterruptedException {
        EVENTS.log(CallEvent.DRAINING, metrics.running());
        Deadline drainDeadline = Deadline.afterMillis(time, DRAIN_TIMEOUT_MILLIS);
        Deadline leavePropagated = Deadline.afterMillis(time, LEAVE_PROPAGATION_MILLIS);
        while (!leavePropagated.isPast(time) && hasOtherMembers()) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        while (!drainDeadline.isPast(time) && limiter.inUse() + limiter.waiting() > 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        entryService.drain();
        closeListener.run();
        Deadline connectionsClosed = Deadline.afterMillis(time, CONNECTION_CLOSE_MILLIS);
        while (!drainDeadline.isPast(time)
                && (metrics.running() > 0 || !connectionsClosed.isPast(time) && hasOtherMembers())) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        int remaining = metrics.running();
        EVENTS.log(CallEvent.DRAINED, remaining);
        invariants.check(
                Invariant.GRACEFUL_STOP,
                remaining == 0,
                () -> remaining + " requests are still in progress and will be aborted by a planned stop");
    }

    private boolean hasOtherMembers() {
        return membership.view().all().stream()
                .anyMatch(m -> m.state() == Member.State.UP && !m.instance().equals(instance));
    }

    @Override
    public void close() {
        peerClients.close();
        backendClient.close();
    }
}
