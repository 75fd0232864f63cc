package org.berylwick.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.berylwick.bench.fleet.DaemonLinks;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.bench.relay.Relay;
import org.berylwick.lib.HostPort;
import org.berylwick.standin.backend.BackendOptions;
import org.berylwick.standin.backend.BackendServer;
import org.berylwick.standin.backend.RunLedger;

/** One backend server with the relays before it, before its daemon, and between that daemon and the platform. */
final class SoakNode implements AutoCloseable {
    private static final HostPort FREE = new HostPort("127.0.0.1", 0);
    private static final BackendOptions OPTIONS = BackendOptions.DEFAULT.withServiceTime(Duration.ofMillis(5));

    private final FleetPlan.Instance instance;
    private final RunLedger ledger;
    private final Relay toPlatform;
    private final Relay toBackend;
    private final Relay toDaemon = new Relay(FREE);
    private final AtomicBoolean faulty = new AtomicBoolean();
    private volatile BackendServer backend;

    SoakNode(FleetPlan.Instance instance, HostPort platform, RunLedger ledger) {
        this.instance = instance;
        this.ledger = ledger;
        toPlatform = new Relay(platform);
        backend = start(FREE);
        toBackend = new Relay(backend.address());
    }

    private BackendServer start(HostPort address) {
        BackendServer server = new BackendServer(instance.name(), address, OPTIONS, ledger);
        server.start();
        return server;
    }

    FleetPlan.Instance instance() {
        return instance;
    }

    String name() {
        return instance.name();
    }

    BackendServer backend() {
        return backend;
    }

    /** Ends the backend server at once. */
    void failBackend() {
        backend.close();
    }

    /** Starts a failed backend server again, at its address or at a new one. */
    void restartBackend(boolean elsewhere) {
        backend = start(elsewhere ? FREE : backend.address());
        toBackend.setTarget(backend.address());
    }

    /** What the daemon is told to connect to. */
    DaemonLinks links() {
        return new DaemonLinks(toBackend.address(), toPlatform.address(), Optional.of(toDaemon.address()));
    }

    /** Sends those who connect to the daemon to its new address. */
    void setDaemon(HostPort peers, HostPort callers) {
        toDaemon.setTarget(peers);
        backend.setDaemon(callers);
    }

    /** The three relays. */
    List<Relay> relays() {
        return List.of(toPlatform, toBackend, toDaemon);
    }

    /** Takes the node for one fault of its processes; false if another has it. */
    boolean take() {
        return faulty.compareAndSet(false, true);
    }

    /** Gives the node back. */
    void release() {
        faulty.set(false);
    }

    @Override
    public void close() {
        backend.close();
        relays().forEach(Relay::close);
    }
}
