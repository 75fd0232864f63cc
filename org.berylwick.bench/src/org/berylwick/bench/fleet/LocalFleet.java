package org.berylwick.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.daemon.BerylwickDaemon;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.errors.Fault;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.standin.backend.BackendServer;
import org.berylwick.standin.platform.PlatformServer;
import org.berylwick.transport.HttpPlatformStore;

/**
 * A platform stand-in, backend servers and whole daemons in this process, on loopback with free ports.
 *
 * <p>For tests: {@code add} instances, {@code apply} declarations, {@code awaitAllUp}, and bring about failures through
 * the stand-ins. One thread may use it.
 */
public final class LocalFleet implements AutoCloseable {
    private static final HostPort LOOPBACK = new HostPort("127.0.0.1", 0);
    private static final int DEFAULT_SLOTS = 12;
    private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_MILLIS = 20;

    private final PlatformServer platform = new PlatformServer(LOOPBACK);
    private final Map<String, BackendServer> backends = new LinkedHashMap<>();
    private final Map<String, BerylwickDaemon> daemons = new LinkedHashMap<>();

    /** A fleet of no instance, with the platform's stand-in running. */
    public LocalFleet() {
        platform.start();
    }

    /** Starts a backend server with a daemon beside it. */
    public void add(FleetPlan.Instance i) {
        add(i, "");
    }

    /**
     * Starts a backend server with a daemon beside it.
     *
     * @param moreSettings TOML tables for the daemon's settings
     */
    public void add(FleetPlan.Instance i, String moreSettings) {
        BackendServer server = addBackend(i.name());
        startDaemon(i, server.address(), platform.address(), moreSettings);
    }

    /** Starts a backend server without a daemon. */
    public BackendServer addBackend(String name) {
        BackendServer server = new BackendServer(name, LOOPBACK, DEFAULT_SLOTS, Duration.ZERO);
        server.start();
        backends.put(name, server);
        return server;
    }

    /** Starts a daemon; {@code backend} and {@code store} may be addresses of relays. */
    public BerylwickDaemon startDaemon(FleetPlan.Instance i, HostPort backend, HostPort store, String moreSettings) {
        String text = SettingsText.of(i, backend, store, moreSettings);
        DaemonSettings settings = switch (SettingsReader.read(i.name(), text)) {
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings read) -> read;
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) ->
                throw new IllegalArgumentException(faults.toString());
        };
        BerylwickDaemon daemon = new BerylwickDaemon(settings);
        daemon.start();
        daemons.put(i.name(), daemon);
        return daemon;
    }

    /**
     * Has TOML declarations accepted, straight through the platform's store.
     *
     * @return the version's number
     * @throws IllegalStateException if they are not accepted
     */
    public long apply(String declarations) {
        TimeSource time = TimeSource.SYSTEM;
        try (HttpPlatformStore store =
                new HttpPlatformStore(java.net.URI.create("http://" + platform.address()), time)) {
            ApplyResult result = new ApplyCommand(new VersionRepository(store), time)
                    .addDocument("test.toml", declarations)
                    .setAuthor("test")
                    .setDeadline(Deadline.after(time, APPLY_TIMEOUT))
                    .call();
            if (result instanceof ApplyResult.Accepted accepted) {
                return accepted.version().number();
            }
            throw new IllegalStateException("not accepted: " + result);
        }
    }

    /** Waits until every daemon has installed {@code version} and knows every daemon of the fleet as up. */
    public void awaitAllUp(long version) {
        await(
                "every daemon up on version " + version,
                () -> daemons.values().stream()
                        .allMatch(d -> d.installedVersion() >= version && d.membersUp() >= daemons.size()));
    }

    /**
     * Waits for a condition.
     *
     * @throws IllegalStateException if it does not hold within a generous time
     */
    public static void await(String what, BooleanSupplier condition) {
        Deadline by = Deadline.after(TimeSource.SYSTEM, SETTLE_TIMEOUT);
        while (!condition.getAsBoolean()) {
            if (by.isPast(TimeSource.SYSTEM)) {
                throw new IllegalStateException("did not come about: " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for " + what, e);
            }
        }
    }

    /** The platform's stand-in. */
    public PlatformServer platform() {
        return platform;
    }

    /** The backend server of an instance. */
    public BackendServer backend(String instance) {
        return backends.get(instance);
    }

    /** The daemon of an instance. */
    public BerylwickDaemon daemon(String instance) {
        return daemons.get(instance);
    }

    /** Stops one daemon gracefully and forgets it; its backend server goes on. */
    public void stopDaemon(String instance) {
        daemons.remove(instance).close();
    }

    /** Stops the daemons, all at once, then the stand-ins. */
    @Override
    public void close() {
        // Nothing is looked at any more; daemons that wait on the store need not sit out their watches.
        platform.faults().startOutage(SETTLE_TIMEOUT);
        List<Thread> stopping = new ArrayList<>();
        daemons.values().forEach(d -> stopping.add(Thread.ofPlatform().start(d::close)));
        try {
            for (Thread t : stopping) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        backends.values().forEach(BackendServer::close);
        platform.close();
    }
}
