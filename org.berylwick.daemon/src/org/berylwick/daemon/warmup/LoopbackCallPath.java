package org.berylwick.daemon.warmup;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.List;
import org.berylwick.daemon.call.CallPath;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.DeclarationReader;
import org.berylwick.internal.config.DeclarationReader.Declarations;
import org.berylwick.internal.config.DeclarationReader.Document;
import org.berylwick.internal.idempotency.KeyDuty;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.PlatformStore;

/**
 * An entry and an owner of their own before an echo server, all on loopback within this process.
 *
 * <p>Nothing of it is shared with the daemon's own call path but the code and the event loops: its calls reach no
 * backend server, take no slot and count in no metric of the daemon.
 */
final class LoopbackCallPath implements AutoCloseable {
    /** The host header that its calls carry. */
    static final String HOST = "warm-up.invalid";

    private static final String SERVICE = "warm-up";
    private static final String OWNER = "warm-up-owner";
    private static final Place PLACE = new Place("warm-up", "warm-up");
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final int SLOTS = 64;
    private static final String DECLARATIONS = """
            [[brand]]
            name = "warm-up"
            hosts = ["%s"]
            headers = { x-theme = "warm-up" }

            [[service]]
            name = "warm-up"
            slots = %d
            connections = %2$d

            [[route]]
            name = "warm-up"
            labels = { kind = "warm-up" }
            path = "/"
            service = "warm-up"

            [[policy]]
            name = "warm-up"
            routes = "kind = warm-up"
            class = "read"
            timeout = "10s"
            max_attempts = 2
            idempotent = true
            idempotency_key = "optional"
            """;
    private static final String SETTINGS = """
            instance = "%s"
            region = "warm-up"
            availability_zone = "warm-up"

            [listen]
            callers = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            admin = "127.0.0.1:0"

            [backend_server]
            service = "warm-up"
            address = "%s"

            [platform]
            uri = "http://127.0.0.1:1"
            """;

    private final MetricRegistry metrics = new MetricRegistry();
    private final Invariants invariants = new Invariants(metrics);
    private final MembershipTable membership = new MembershipTable();
    private final PlatformStore store = new MemoryStore(TimeSource.SYSTEM);
    private final InstalledVersion installed;
    private final KeyDuty keys;
    private final CallPath ownerPath;
    private final CallPath entryPath;
    private final Server echo;
    private final Server owner;
    private final Server entry;

    LoopbackCallPath(TimeSource time) {
        installed = new InstalledVersion(time);
        keys = new KeyDuty(store, OWNER, invariants, metrics, time);
        keys.start();
        echo = started((ctx, request) -> HttpResponse.of(ResponseHeaders.of(HttpStatus.OK), request));
        ownerPath = callPath(OWNER, address(echo), time);
        owner = started(ownerPath.ownerService());
        entryPath = callPath("warm-up-entry", ANY_PORT, time);
        entry = started(entryPath.entryService());
        // Installed last: the paths learn their limits from the install.
        installed.install(VersionContent.encode(
                VersionId.NONE, new AuditEntry("", "", "", time.epochMillis(), List.of()), configuration()));
        membership.merge(new Member(
                OWNER, SERVICE, address(owner), PLACE, Labels.EMPTY, Member.State.UP, 1, SLOTS, 1, time.epochMillis()));
    }

    private CallPath callPath(String instance, HostPort server, TimeSource time) {
        String text = SETTINGS.formatted(instance, server);
        return switch (SettingsReader.read("warm-up", text)) {
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings settings) ->
                new CallPath(settings, installed, membership, keys, () -> Member.State.UP, metrics, invariants, time);
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) ->
                throw new IllegalStateException("the warm-up's own settings: " + faults);
        };
    }

    private static Configuration configuration() {
        Document document = new Document("warm-up", DECLARATIONS.formatted(HOST, SLOTS));
        Declarations declared = DeclarationReader.read(List.of(document));
        if (!declared.faults().isEmpty()) {
            throw new IllegalStateException("the warm-up's own declarations: " + declared.faults());
        }
        return declared.changes().applyTo(Configuration.EMPTY);
    }

    private static Server started(HttpService service) {
        Server server = Server.builder()
                .http(new InetSocketAddress(ANY_PORT.host(), ANY_PORT.port()))
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .serviceUnder("/", service)
                .build();
        server.start().join();
        return server;
    }

    /** Where the entry listens. */
    HostPort entryAddress() {
        return address(entry);
    }

    private static HostPort address(Server server) {
        InetSocketAddress bound = server.activePort().localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Frees everything; the servers' accepting threads end by themselves two seconds later. */
    @Override
    public void close() {
        entry.stop();
        owner.stop();
        echo.stop();
        entryPath.close();
        ownerPath.close();
        keys.close();
        store.close();
    }
}
