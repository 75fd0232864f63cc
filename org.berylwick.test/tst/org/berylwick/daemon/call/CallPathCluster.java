package org.berylwick.daemon.call;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.idempotency.KeyDuty;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;

/**
 * Call paths of several daemons without membership protocol and configuration updates: the test defines the members and
 * their addresses.
 *
 * <p>This allows a test to put a relay between any two daemons, or between a daemon and its backend server.
 */
final class CallPathCluster implements AutoCloseable {
    private static final TimeSource TIME = TimeSource.SYSTEM;
    private static final Place PLACE = new Place("ncr", "makati");
    private static final long APPLY_TIMEOUT_MILLIS = 10_000;

    private final Map<String, TestDaemon> daemons = new LinkedHashMap<>();
    private final VersionContent version;

    /** One daemon of the cluster. */
    static final class TestDaemon {
        final MetricRegistry metrics = new MetricRegistry();
        final Invariants invariants = new Invariants(metrics);
        final MembershipTable membership = new MembershipTable();
        final InstalledVersion installed = new InstalledVersion(TIME);
        final CallPath callPath;
        private final KeyDuty keyDuty;
        final Server callerServer;
        final Server peerServer;
        volatile Member.State state = Member.State.UP;

        private TestDaemon(String instance, String service, HostPort backend, VersionContent version) {
            HostPort ephemeralAddress = new HostPort("127.0.0.1", 0);
            DaemonSettings settings = new DaemonSettings(
                    instance,
                    PLACE,
                    new DaemonSettings.Listen(ephemeralAddress, ephemeralAddress, ephemeralAddress, Optional.empty()),
                    new DaemonSettings.BackendServer(service, backend, new Labels(Map.of())),
                    new DaemonSettings.Platform(URI.create("http://127.0.0.1:1")),
                    new DaemonSettings.Spread(DaemonSettings.SpreadMode.WATCH, SpreadTuning.DEFAULT, 0, List.of()),
                    new DaemonSettings.Admin(Optional.empty(), 1));
            keyDuty = new KeyDuty(new MemoryStore(TIME), instance, invariants, metrics, TIME);
            keyDuty.start();
            callPath = new CallPath(settings, installed, membership, keyDuty, () -> state, metrics, invariants, TIME);
            installed.install(version);
            callerServer = serve(callPath.entryService());
            peerServer = serve(callPath.ownerService());
        }

        private static Server serve(HttpService service) {
            Server server = Server.builder()
                    .http(new InetSocketAddress("127.0.0.1", 0))
                    .requestTimeoutMillis(0)
                    .maxRequestLength(0)
                    .serviceUnder("/", service)
                    .build();
            server.start().join();
            return server;
        }

        /** Address for callers. */
        HostPort callerAddress() {
            return address(callerServer);
        }

        /** Address for other daemons. */
        HostPort peerAddress() {
            return address(peerServer);
        }

        private static HostPort address(Server server) {
            return new HostPort("127.0.0.1", server.activeLocalPort());
        }

        /** Returns the value of a counter of this daemon. */
        long counterValue(String metric) {
            return metrics.counter(metric).getCount();
        }

        /** Returns the value of an integer gauge of this daemon. */
        int gaugeValue(String metric) {
            return (Integer) metrics.getGauges().get(metric).getValue();
        }

        /** Does not wait: the server library keeps its threads for some seconds after the sockets are closed. */
        private void close() {
            callerServer.stop();
            peerServer.stop();
            callPath.close();
            keyDuty.close();
        }
    }

    /** Creates a cluster without daemons; daemons that are added have the declared configuration installed. */
    CallPathCluster(String declarations) {
        VersionRepository repository = new VersionRepository(new MemoryStore(TIME));
        Deadline deadline = Deadline.afterMillis(TIME, APPLY_TIMEOUT_MILLIS);
        ApplyResult applied = new ApplyCommand(repository, TIME)
                .addDocument("test.toml", declarations)
                .setDeadline(deadline)
                .call();
        if (!(applied instanceof ApplyResult.Accepted accepted)) {
            throw new IllegalArgumentException(applied.toString());
        }
        if (!(repository.read(accepted.version(), Map.of(), deadline)
                instanceof Result.Ok<VersionContent, VersionError>(VersionContent content))) {
            throw new IllegalStateException("applied configuration version can't be read");
        }
        version = content;
    }

    /** Adds a daemon with its backend server; other daemons don't know it as a member yet. */
    TestDaemon addDaemon(String instance, String service, HostPort backend) {
        TestDaemon daemon = new TestDaemon(instance, service, backend, version);
        daemons.put(instance, daemon);
        return daemon;
    }

    /** Announces a new address of a known member to all daemons, with the next incarnation number. */
    void announceNewAddress(String instance, HostPort address) {
        daemons.values()
                .forEach(daemon -> daemon.membership
                        .view()
                        .find(instance)
                        .ifPresent(known -> daemon.membership.merge(new Member(
                                instance,
                                known.service(),
                                address,
                                known.place(),
                                known.labels(),
                                Member.State.UP,
                                known.incarnation() + 1,
                                known.slots(),
                                known.version(),
                                known.installedAtEpochMillis()))));
    }

    /** Announces a member to all daemons, in state UP at {@code address}. */
    void announce(String instance, String service, HostPort address) {
        Member member =
                new Member(instance, service, address, PLACE, new Labels(Map.of()), Member.State.UP, 1, 12, 1, 1);
        daemons.values().forEach(daemon -> daemon.membership.merge(member));
    }

    /** Adds a daemon and announces it to all daemons as a member; it learns of all known members. */
    TestDaemon addMember(String instance, String service, HostPort backend) {
        TestDaemon daemon = addDaemon(instance, service, backend);
        daemons.forEach((name, existing) ->
                existing.membership.view().all().forEach(member -> daemon.membership.merge(member)));
        announce(instance, service, daemon.peerAddress());
        return daemon;
    }

    /** Returns the invariants that were breached, each preceded by the instance name of the daemon. */
    List<String> breachedInvariants() {
        List<String> breached = new ArrayList<>();
        daemons.forEach((name, daemon) -> {
            for (Invariant invariant : Invariant.values()) {
                if (daemon.invariants.breaches(invariant) > 0) {
                    breached.add(name + " " + invariant);
                }
            }
        });
        return breached;
    }

    @Override
    public void close() {
        daemons.values().forEach(TestDaemon::close);
    }
}
