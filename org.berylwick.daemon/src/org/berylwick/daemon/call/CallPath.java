package org.berylwick.daemon.call;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.CommonPools;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.SlotLimits;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Member;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TimeSource;

/** Owns everything that a request meets in this daemon. */
public final class CallPath implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "call-path";

    private static final int DEFAULT_SLOTS = 12;
    private static final int DEFAULT_QUEUE = 48;

    private final PeerClients peers;
    private final BackendServerClient server;
    private final SlotLimiter limiter;
    private final EntryService entry;
    private final OwnerService owner;

    /**
     * The call path of one daemon.
     *
     * @param state whether the own backend server takes requests
     */
    public CallPath(
            DaemonSettings settings,
            InstalledVersion installed,
            MembershipTable membership,
            Supplier<Member.State> state,
            MetricRegistry metrics,
            Invariants invariants,
            TimeSource time) {
        peers = new PeerClients(time);
        server = new BackendServerClient(settings.backendServer().address(), time);
        limiter = new SlotLimiter(
                time,
                (at, task) -> CommonPools.workerGroup()
                        .next()
                        .schedule(task, Math.max(0, at.remainingNanos(time)), TimeUnit.NANOSECONDS),
                metrics,
                invariants,
                SlotLimits.ofAllClasses(DEFAULT_SLOTS, DEFAULT_QUEUE));
        PeerLoads loads = new PeerLoads();
        MemberChooser chooser = new MemberChooser(settings.place(), loads::load);
        entry = new EntryService(installed, membership, new Forwarder(peers, chooser, loads, time), time);
        owner = new OwnerService(settings.instance(), limiter, server, state, time);
        String service = settings.backendServer().service();
        installed.addListener(v -> {
            Configuration configuration = v.snapshot().configuration();
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

    /** Serves callers. */
    public EntryService entry() {
        return entry;
    }

    /** Serves other daemons. */
    public OwnerService owner() {
        return owner;
    }

    @Override
    public void close() {
        peers.close();
        server.close();
    }
}
