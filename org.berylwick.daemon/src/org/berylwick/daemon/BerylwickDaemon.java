package org.berylwick.daemon;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.server.Server;
import java.util.Arrays;
import java.util.Optional;
import org.berylwick.daemon.admin.AdminContext;
import org.berylwick.daemon.admin.AdminServer;
import org.berylwick.daemon.admin.AdminService;
import org.berylwick.daemon.call.CallPath;
import org.berylwick.daemon.duty.BackendServerProbe;
import org.berylwick.daemon.duty.DrainRecord;
import org.berylwick.daemon.duty.MembershipWatch;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.daemon.duty.SpreadDuties;
import org.berylwick.daemon.duty.VersionWatch;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;
import org.berylwick.internal.idempotency.KeyDuty;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.Kernel;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.StoreLineage;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.StoreMeter;

/** A whole daemon in this process. */
public final class BerylwickDaemon implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(BerylwickDaemon.class);

    private final PlatformStore store;
    private final Kernel kernel = new Kernel();
    private final SelfAnnouncement self;
    private final CallPath calls;
    private final DaemonServers servers;
    private final InstalledVersion installed;
    private final MembershipTable membership;
    private final Invariants invariants;

    /** Puts the services together; nothing runs until {@link #start()}. */
    public BerylwickDaemon(DaemonSettings settings) {
        TimeSource time = TimeSource.SYSTEM;
        MetricRegistry metrics = new MetricRegistry();
        store = new HttpPlatformStore(settings.platform().uri(), time, new StoreMeter(metrics));
        invariants = kernel.register(new Invariants(metrics));
        VersionRepository repository = new VersionRepository(store);
        installed = kernel.register(
                new InstalledVersion(time, invariants, Optional.of(new StoreLineage(repository, time))));
        membership = kernel.register(new MembershipTable());
        self = kernel.register(new SelfAnnouncement(settings, installed, time));
        KeyDuty keys = kernel.register(new KeyDuty(store, settings.instance(), invariants, metrics, time));
        calls = kernel.register(
                new CallPath(settings, installed, membership, keys, self::state, metrics, invariants, time));
        DrainRecord drains = kernel.register(new DrainRecord(store, settings, self, time));
        AdminContext context = new AdminContext(
                settings.instance(), settings.place(), repository, installed, membership, self, drains, time);
        AdminService admin = kernel.register(new AdminService(context, metrics));
        Server adminServer = AdminServer.create(settings.listen().admin(), settings.admin(), admin, metrics);
        Optional<SpreadDuties> spread = switch (settings.spread().mode()) {
            case WATCH -> Optional.empty();
            case SPREAD ->
                Optional.of(new SpreadDuties(
                        settings,
                        new SpreadDuties.Parts(store, repository, installed, membership, self, metrics),
                        time));
        };
        servers = kernel.register(new DaemonServers(
                settings.listen(), calls, adminServer, spread.map(SpreadDuties::service), self::setAddress));
        if (spread.isPresent()) {
            kernel.register(spread.get());
        } else {
            kernel.register(new VersionWatch(repository, installed, time));
            kernel.register(new MembershipWatch(store, membership, self, time));
        }
        BackendServerProbe probe =
                kernel.register(new BackendServerProbe(settings.backendServer().address(), installed, self));
        calls.setLeaveListener(probe::onLeaveStated);
    }

    /** Starts every service and announces the backend server. */
    public void start() {
        kernel.start();
        EVENTS.log(ProcessEvent.LISTENING, servers.callersAddress(), servers.peersAddress(), servers.adminAddress());
    }

    /** Where callers are served, with the real port. */
    public HostPort callersAddress() {
        return servers.callersAddress();
    }

    /** Where other daemons are served, with the real port. */
    public HostPort peersAddress() {
        return servers.peersAddress();
    }

    /** Where operators are served, with the real port. */
    public HostPort adminAddress() {
        return servers.adminAddress();
    }

    /** Number of the version in force here; 0 before the first. */
    public long installedVersion() {
        return installed.snapshot().id().number();
    }

    /** How many members this daemon knows as up, itself included. */
    public long membersUp() {
        return membership.view().all().stream()
                .filter(m -> m.state() == Member.State.UP)
                .count();
    }

    /** Breaches of invariants seen inside this daemon since its start. */
    public long invariantBreaches() {
        return Arrays.stream(Invariant.values()).mapToLong(invariants::breaches).sum();
    }

    /**
     * Finds a service of this daemon.
     *
     * @throws IllegalStateException if there is none of that name and type
     */
    public <T extends KernelService> T service(String name, Class<T> type) {
        return kernel.get(name, type);
    }

    /**
     * Finishes what is running, and stops.
     *
     * <p>In this order: new work is refused by the owner at once and the leave announced; the backend server finishes;
     * callers are sent away; only then the sockets close.
     */
    @Override
    public void close() {
        self.setState(Member.State.LEAVING);
        try {
            calls.drain(servers::closeCallersListener);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kernel.close();
        store.close();
        EVENTS.log(ProcessEvent.STOPPED);
    }
}
