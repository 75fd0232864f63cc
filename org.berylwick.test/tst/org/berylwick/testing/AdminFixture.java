package org.berylwick.testing;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.grpc.GrpcClientBuilder;
import com.linecorp.armeria.client.grpc.GrpcClients;
import com.linecorp.armeria.server.Server;
import java.util.Map;
import java.util.Optional;
import org.berylwick.daemon.admin.AdminContext;
import org.berylwick.daemon.admin.AdminServer;
import org.berylwick.daemon.admin.AdminService;
import org.berylwick.daemon.duty.DrainRecord;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.daemon.duty.VersionWatch;
import org.berylwick.daemon.settings.AdminToken;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.daemon.settings.SettingsReader;
import org.berylwick.errors.Fault;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.PlatformStore;

/** The operators' service of one daemon on a free port, over a store, with the versions it accepts in force. */
public final class AdminFixture implements AutoCloseable {
    /** The smallest configuration that has every kind of object. */
    public static final String WHOLE = """
            [[brand]]
            name = "one"
            hosts = ["one.example"]
            labels = { tier = "gold" }

            [[service]]
            name = "web"

            [[route]]
            name = "all"
            path = "/"
            service = "web"

            [[policy]]
            name = "default"
            idempotent = true
            """;

    private static final String SETTINGS = """
            instance = "web-1"
            region = "r"
            availability_zone = "a"
            [backend_server]
            service = "web"
            address = "127.0.0.1:9000"
            [platform]
            uri = "http://127.0.0.1:1"
            """;

    private final TimeSource time = TimeSource.SYSTEM;
    private final PlatformStore store;
    private final MetricRegistry metrics = new MetricRegistry();
    private final InstalledVersion installed = new InstalledVersion(time);
    private final MembershipTable membership = new MembershipTable();
    private final SelfAnnouncement self;
    private final VersionWatch watch;
    private final AdminService service;
    private final Server server;

    /** A service on loopback without a token, over an empty store. */
    public AdminFixture() {
        this(new MemoryStore(TimeSource.SYSTEM), Optional.empty(), "127.0.0.1", 1 << 20);
    }

    /** A service as its settings would make it. */
    public AdminFixture(PlatformStore store, Optional<AdminToken> token, String host, int maxRequestBytes) {
        this.store = store;
        DaemonSettings settings = settings();
        self = new SelfAnnouncement(settings, installed, time);
        VersionRepository repository = new VersionRepository(store);
        service = new AdminService(
                new AdminContext(
                        "web-1",
                        settings.place(),
                        repository,
                        installed,
                        membership,
                        self,
                        new DrainRecord(store, settings, self, time),
                        time),
                metrics);
        server = AdminServer.create(
                new HostPort(host, 0), new DaemonSettings.Admin(token, maxRequestBytes), service, metrics);
        watch = new VersionWatch(repository, installed, time);
        service.start();
        server.start().join();
        watch.start();
    }

    private static DaemonSettings settings() {
        return switch (SettingsReader.read("fixture.toml", SETTINGS, Map.of())) {
            case Result.Ok<DaemonSettings, java.util.List<Fault>>(DaemonSettings settings) -> settings;
            case Result.Err<DaemonSettings, java.util.List<Fault>>(java.util.List<Fault> faults) ->
                throw new IllegalStateException(faults.toString());
        };
    }

    /** Where the service listens. */
    public String address() {
        return "127.0.0.1:" + server.activeLocalPort();
    }

    /** What the daemon says of itself. */
    public SelfAnnouncement self() {
        return self;
    }

    /** The members it knows. */
    public MembershipTable membership() {
        return membership;
    }

    /** The version in force. */
    public InstalledVersion installed() {
        return installed;
    }

    /** Its metrics. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Makes a member of service {@code web} known that has {@code version} in force. */
    public void addMember(String instance, Member.State state, long version) {
        membership.merge(new Member(
                instance,
                "web",
                new HostPort("127.0.0.1", 9),
                new Place("r", "a"),
                Labels.EMPTY,
                state,
                1,
                12,
                version,
                time.epochMillis()));
    }

    /** Waits until a version is in force. */
    public void awaitVersion(long number) {
        Await.until("version " + number, () -> installed.snapshot().id().number() >= number, installed::snapshot);
    }

    /** A client without a token. */
    public AdminGrpc.AdminBlockingStub client() {
        return clientBuilder().build(AdminGrpc.AdminBlockingStub.class);
    }

    /** A client that sends {@code authorization} as it is. */
    public AdminGrpc.AdminBlockingStub client(String authorization) {
        return clientBuilder().addHeader("authorization", authorization).build(AdminGrpc.AdminBlockingStub.class);
    }

    private GrpcClientBuilder clientBuilder() {
        return GrpcClients.builder("gproto+h2c://" + address());
    }

    @Override
    public void close() {
        watch.close();
        // The HTTP library's threads linger for two seconds; no test needs them gone.
        server.stop();
        service.close();
        store.close();
    }
}
