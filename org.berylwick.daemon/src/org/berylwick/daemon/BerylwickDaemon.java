package org.berylwick.daemon;

import com.codahale.metrics.MetricRegistry;
import org.berylwick.daemon.admin.AdminService;
import org.berylwick.daemon.call.CallPath;
import org.berylwick.daemon.duty.BackendServerProbe;
import org.berylwick.daemon.duty.MembershipWatch;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.daemon.duty.VersionWatch;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.Kernel;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.PlatformStore;

/** A whole daemon in this process. */
public final class BerylwickDaemon implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(BerylwickDaemon.class);

    private final PlatformStore store;
    private final Kernel kernel = new Kernel();
    private final SelfAnnouncement self;
    private final DaemonServers servers;

    /** Puts the services together; nothing runs until {@link #start()}. */
    public BerylwickDaemon(DaemonSettings settings) {
        TimeSource time = TimeSource.SYSTEM;
        store = new HttpPlatformStore(settings.platform().uri(), time);
        MetricRegistry metrics = new MetricRegistry();
        Invariants invariants = kernel.register(new Invariants(metrics));
        VersionRepository repository = new VersionRepository(store);
        InstalledVersion installed = kernel.register(new InstalledVersion(time));
        MembershipTable membership = kernel.register(new MembershipTable());
        self = kernel.register(new SelfAnnouncement(settings, installed, time));
        CallPath calls =
                kernel.register(new CallPath(settings, installed, membership, self::state, metrics, invariants, time));
        AdminService admin = kernel.register(new AdminService(repository, installed, membership, time));
        servers = kernel.register(new DaemonServers(settings.listen(), calls, admin));
        kernel.register(new VersionWatch(repository, installed, time));
        kernel.register(new MembershipWatch(store, membership, self, time));
        kernel.register(new BackendServerProbe(settings.backendServer().address(), installed, self));
    }

    /** Starts every service and announces the backend server. */
    public void start() {
        kernel.start();
        self.setAddress(servers.peersAddress());
        EVENTS.log(ProcessEvent.LISTENING, servers.callersAddress(), servers.peersAddress(), servers.adminAddress());
    }

    /** Finishes what is running, and stops. */
    @Override
    public void close() {
        self.setState(Member.State.LEAVING);
        kernel.close();
        store.close();
        EVENTS.log(ProcessEvent.STOPPED);
    }
}
