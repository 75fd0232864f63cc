package org.berylwick.testing;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.daemon.BerylwickDaemon;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.errors.Fault;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.standin.backend.BackendServer;
import org.berylwick.standin.platform.PlatformServer;
import org.berylwick.transport.HttpPlatformStore;

/** A stand-in of the platform, one backend server and whole daemons, all in this process on free ports. */
public final class DaemonFleet implements AutoCloseable {
    private static final HostPort FREE = HostPort.fromString("127.0.0.1:0");
    private static final long APPLY_MILLIS = 20_000;

    private final PlatformServer platform = new PlatformServer(FREE);
    private final BackendServer backend = new BackendServer("web", FREE, 12, Duration.ZERO);
    private final Map<String, BerylwickDaemon> daemons = new LinkedHashMap<>();
    private final HttpPlatformStore store;

    /** The stand-ins run; there are no daemons yet. */
    public DaemonFleet() {
        platform.start();
        backend.start();
        store = new HttpPlatformStore(platformUri(), TimeSource.SYSTEM);
    }

    /** Where the platform's stand-in listens. */
    public URI platformUri() {
        return URI.create("http://" + platform.address());
    }

    /** Starts a daemon that reaches the store itself. */
    public BerylwickDaemon start(String instance, String zone, String spread) {
        return start(instance, zone, platformUri(), spread);
    }

    /**
     * Starts a daemon.
     *
     * @param spread further lines of the table {@code [spread]}
     */
    public BerylwickDaemon start(String instance, String zone, URI platformUri, String spread) {
        String text = """
                instance = "%s"
                region = "ncr"
                availability_zone = "%s"

                [listen]
                callers = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                admin = "127.0.0.1:0"

                [backend_server]
                service = "web"
                address = "%s"

                [platform]
                uri = "%s"

                [spread]
                mode = "spread"
                heartbeat = "200ms"
                report = "200ms"
                suspicion = "1s"
                %s
                """.formatted(instance, zone, backend.address(), platformUri, spread);
        BerylwickDaemon daemon = switch (SettingsReader.read(instance, text)) {
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings s) -> new BerylwickDaemon(s);
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) ->
                throw new IllegalArgumentException(faults.toString());
        };
        daemons.put(instance, daemon);
        daemon.start();
        return daemon;
    }

    /** Has a change accepted by the store itself; tells the version. */
    public long apply(String text) {
        ApplyResult result = new ApplyCommand(new VersionRepository(store), TimeSource.SYSTEM)
                .addDocument("test.toml", text)
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, APPLY_MILLIS))
                .call();
        if (result instanceof ApplyResult.Accepted accepted) {
            return accepted.version().number();
        }
        throw new IllegalStateException(result.toString());
    }

    /** The version in force at a daemon. */
    public static long version(BerylwickDaemon daemon) {
        return daemon.service(InstalledVersion.NAME, InstalledVersion.class)
                .snapshot()
                .id()
                .number();
    }

    /** The members that a daemon knows, with their states. */
    public static Map<String, Member.State> members(BerylwickDaemon daemon) {
        return daemon.service(MembershipTable.NAME, MembershipTable.class).view().all().stream()
                .collect(Collectors.toMap(Member::instance, Member::state));
    }

    /** Waits until each daemon has the version in force. */
    public void awaitVersion(long version) {
        Await.until(
                "version " + version + " everywhere",
                () -> daemons.values().stream().allMatch(d -> version(d) >= version),
                () -> daemons.values().stream().map(DaemonFleet::version).toList());
    }

    /** Waits until each daemon knows that instance in that state. */
    public void awaitState(String instance, Member.State state) {
        Await.until(
                instance + " " + state + " everywhere",
                () -> daemons.values().stream()
                        .allMatch(d -> members(d).getOrDefault(instance, Member.State.GONE) == state),
                () -> daemons.values().stream().map(DaemonFleet::members).toList());
    }

    /** The daemons by instance, in the order of their starts. */
    public Map<String, BerylwickDaemon> daemons() {
        return daemons;
    }

    /** The platform's stand-in. */
    public PlatformServer platform() {
        return platform;
    }

    /** Stops a daemon as planned. */
    public void stop(String instance) {
        daemons.remove(instance).close();
    }

    @Override
    public void close() {
        new ArrayList<>(daemons.values()).parallelStream().forEach(BerylwickDaemon::close);
        store.close();
        backend.close();
        platform.close();
    }
}
