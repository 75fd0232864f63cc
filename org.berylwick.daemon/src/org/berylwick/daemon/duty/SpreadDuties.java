package org.berylwick.daemon.duty;

import com.codahale.metrics.MetricRegistry;
import java.util.Random;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.spread.SpreadEvent;
import org.berylwick.internal.spread.SpreadMetrics;
import org.berylwick.internal.spread.Spreader;
import org.berylwick.internal.spread.StoreFreshness;
import org.berylwick.internal.spread.TokenBucket;
import org.berylwick.internal.spread.VersionDeltaEncoder;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.PeerClient;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.SpreadService;
import org.berylwick.transport.WireMeter;

/**
 * The duties that spread versions and membership between daemons, each on a thread of its own: streams, taking versions
 * from peers, the reader role and reading the store.
 */
public final class SpreadDuties implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "spread";

    private static final int RING_CAPACITY = 4096;
    private static final double FLEET_CALLS_PER_SECOND = 400;
    private static final int ASSUMED_MEMBERS = 480;
    private static final double CALL_BURST = 8;

    private final DaemonSettings settings;
    private final Spreader spreader;
    private final PeerClient client;
    private final SpreadService service;
    private final VersionPull pull;
    private final ReaderRole role;
    private final StoreReader reader;
    private Duty duty;

    /** Everything that the duties work with. */
    public record Parts(
            PlatformStore store,
            VersionRepository repository,
            InstalledVersion installed,
            MembershipTable table,
            SelfAnnouncement self,
            MetricRegistry metrics) {}

    /** Duties that begin with {@link #start()}, after the server of {@link #service()}. */
    public SpreadDuties(DaemonSettings settings, Parts parts, TimeSource time) {
        this.settings = settings;
        Random random = new Random();
        MetricRegistry registry = parts.metrics();
        SpreadMetrics metrics = new SpreadMetrics(registry);
        client = new PeerClient(
                time,
                new WireMeter(
                        registry.counter(SpreadMetrics.PEER_BYTES_SENT),
                        registry.counter(SpreadMetrics.PEER_BYTES_RECEIVED)));
        FirstVersion first = new FirstVersion(time);
        pull = new VersionPull(client, parts.installed(), first, metrics, time);
        StoreFreshness freshness = new StoreFreshness(time);
        spreader = new Spreader(
                new Spreader.Dependencies(
                        settings.spread().tuning(),
                        parts.self(),
                        parts.table(),
                        parts.installed(),
                        freshness,
                        pull,
                        client,
                        new Ring<>(RING_CAPACITY),
                        metrics),
                time,
                random);
        VersionDeltaEncoder versions = new VersionDeltaEncoder(parts.installed());
        service = new SpreadService(parts.self()::current, versions::encode, spreader, client, time);
        TokenBucket budget = new TokenBucket(time, FLEET_CALLS_PER_SECOND / ASSUMED_MEMBERS, CALL_BURST);
        role = new ReaderRole(
                new ReaderRole.Parts(parts.store(), settings, parts.table(), spreader, freshness, budget),
                time,
                random);
        reader = new StoreReader(
                new StoreReader.Parts(
                        parts.repository(),
                        parts.installed(),
                        first,
                        parts.table(),
                        role,
                        settings.place(),
                        freshness,
                        budget),
                time,
                random);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Whether this daemon reads the store for its zone now. */
    public boolean isReader() {
        return role.slot().isPresent();
    }

    /** What serves other daemons. */
    public SpreadService service() {
        return service;
    }

    @Override
    public void start() {
        if (!settings.spread().seeds().isEmpty()) {
            spreader.submit(new SpreadEvent.PeersDiscovered(settings.spread().seeds()));
        }
        duty = new Duty(NAME, spreader::runOnce);
        pull.start();
        role.start();
        reader.start();
    }

    @Override
    public void close() {
        reader.close();
        role.close();
        pull.close();
        duty.close();
        spreader.close();
        service.close();
        client.close();
    }
}
