package org.berylwick.node.version;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.berylwick.node.lib.MeshVersion;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/**
 * Learns the newest accepted version and installs it; confined to the event loop.
 *
 * <p>A few nodes of each availability zone watch the store; the others hear of a version from them by datagram and
 * fetch it from the nearest node that has it. Every node also asks the store now and then, in turns that make one
 * question a second over the fleet: a watch whose connection went silent looks like one with nothing to tell. Only a
 * higher version is ever installed.
 */
public final class VersionUpdater {
    /** Where nodes read the version in force at another; the number of the one they have follows. */
    public static final String VERSION_PATH = "/bw/version?base=";

    private static final long WATCH_TIMEOUT_MILLIS = 8_000;
    private static final long INITIAL_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long POLL_MILLIS_PER_NODE = 1_000;
    private static final long MIN_POLL_MILLIS = 2_000;
    /**
     * Between two versions that are installed here. Of versions that come faster only the newest is read: each costs a
     * parse of the whole, on VMs with 0.3 of a core.
     */
    private static final long MIN_INSTALL_INTERVAL_NANOS = 250_000_000L;

    private final EventLoop loop;
    private final ConfigurationSource source;
    private final MemberTable table;
    private final String zone;
    private final BooleanSupplier isReader;
    private final Consumer<Origin> onInstalled;
    private final Counters counters;
    private final EventLog log;
    private final VersionHistory history = new VersionHistory();
    private final VersionFetcher fetcher;
    private Optional<MeshVersion> version = Optional.empty();
    private long lastInstalledAt;
    private boolean storeReachable = true;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private boolean reading;
    private boolean watching;
    private long revision;

    /**
     * @param loop all runs on it
     * @param source the store
     * @param table other nodes
     * @param zone of this node
     * @param isReader whether this node watches the store for its zone
     * @param onInstalled hears of each version that came into force
     * @param counters takes counts
     * @param log takes events
     */
    public VersionUpdater(
            EventLoop loop,
            ConfigurationSource source,
            MemberTable table,
            String zone,
            BooleanSupplier isReader,
            Consumer<Origin> onInstalled,
            Counters counters,
            EventLog log) {
        this.loop = loop;
        this.source = source;
        this.table = table;
        this.zone = zone;
        this.isReader = isReader;
        this.onInstalled = onInstalled;
        this.counters = counters;
        this.log = log;
        this.fetcher = new VersionFetcher(
                loop, table, zone, history, this::currentNumber, this::onFetched, new Instruments(counters, log));
    }

    /** The version in force here. */
    public Optional<MeshVersion> version() {
        return version;
    }

    /** Whether the store answered the last call. */
    public boolean isStoreReachable() {
        return storeReachable;
    }

    /** Where a version came from. */
    public enum Origin {
        /** The platform's store. */
        STORE,
        /** A node of this availability zone. */
        NEAR,
        /** A node elsewhere. */
        FAR
    }

    /**
     * The version in force for a node that has an earlier one, as that node's fetch reads it.
     *
     * @param baseNumber number of the version it has, 0 for none
     * @return empty if there is nothing newer here
     */
    public Optional<byte[]> encodeDeltaFrom(long baseNumber) {
        return history.deltaFrom(baseNumber).map(VersionHistory.VersionDelta::encode);
    }

    /** Starts. */
    public void start() {
        read();
        schedulePoll();
    }

    /** Takes up the watch if this node became a reader; called about once a second. */
    public void tick() {
        if (!reading && !watching && isReader.getAsBoolean()) {
            read();
        }
    }

    private void read() {
        read(ConfigurationSource.Consistency.LINEARIZABLE);
    }

    private void read(ConfigurationSource.Consistency consistency) {
        if (reading) {
            return;
        }
        reading = true;
        counters.add(NodeMetricNames.STORE_READS);
        source.read(consistency, result -> {
            reading = false;
            onReadResult(result);
        });
    }

    private void onReadResult(ConfigurationSource.ReadResult result) {
        switch (result) {
            case ConfigurationSource.ReadResult.Found found -> {
                onStoreReachable();
                revision = Math.max(revision, found.revision());
                boolean inBurst = isWithinInstallInterval(System.nanoTime());
                install(found.version(), "store", Origin.STORE);
                continueReading(inBurst);
            }
            case ConfigurationSource.ReadResult.Unchanged unchanged -> {
                onStoreReachable();
                revision = Math.max(revision, unchanged.revision());
                watch();
            }
            case ConfigurationSource.ReadResult.Missing missing -> {
                onStoreReachable();
                scheduleRetry(this::read);
            }
            case ConfigurationSource.ReadResult.Invalid invalid -> {
                onStoreReachable();
                log.write(Event.VERSION_REFUSED, "from", "store", "why", invalid.reason());
                scheduleRetry(this::read);
            }
            case ConfigurationSource.ReadResult.HistoryGone gone -> {
                // Not at once: a store that has lost its history to an overload would be asked without pause.
                counters.add(NodeMetricNames.STORE_HISTORY_GONE);
                scheduleRetry(this::read);
            }
            case ConfigurationSource.ReadResult.Failed failed -> {
                onStoreUnreachable(failed.cause());
                scheduleRetry(this::read);
            }
        }
    }

    /**
     * Watches on. In a burst it waits and reads the newest version alone: a watch is answered with every one of them.
     */
    private void continueReading(boolean inBurst) {
        if (!inBurst || reading) {
            watch();
            return;
        }
        loop.schedule(this::readIfReader, MIN_INSTALL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void readIfReader() {
        if (!watching && isReader.getAsBoolean()) {
            read();
        }
    }

    private boolean isWithinInstallInterval(long now) {
        return version.isPresent() && now - lastInstalledAt < MIN_INSTALL_INTERVAL_NANOS;
    }

    private void onStoreReachable() {
        retryMillis = INITIAL_RETRY_MILLIS;
        if (!storeReachable) {
            storeReachable = true;
            log.write(Event.STORE_REGAINED, "revision", revision);
        }
    }

    private void onStoreUnreachable(String cause) {
        counters.add(NodeMetricNames.STORE_FAILURES);
        if (storeReachable) {
            storeReachable = false;
            log.write(Event.STORE_LOST, "cause", cause, "follows", "versions come from other nodes");
        }
    }

    private void scheduleRetry(Runnable task) {
        long millis = retryMillis / 2 + ThreadLocalRandom.current().nextLong(retryMillis);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void watch() {
        if (watching || !isReader.getAsBoolean()) {
            return;
        }
        watching = true;
        counters.add(NodeMetricNames.STORE_WATCHES);
        source.watch(revision, WATCH_TIMEOUT_MILLIS, result -> {
            watching = false;
            onReadResult(result);
        });
    }

    private void schedulePoll() {
        long nodeCount = table.all().size() + 1L;
        long periodMillis = Math.max(MIN_POLL_MILLIS, POLL_MILLIS_PER_NODE * nodeCount);
        long delayMillis = periodMillis / 2 + ThreadLocalRandom.current().nextLong(periodMillis);
        loop.schedule(
                () -> {
                    // Only to find out that nothing else told of a version for seconds.
                    read(
                            isReader.getAsBoolean()
                                    ? ConfigurationSource.Consistency.LINEARIZABLE
                                    : ConfigurationSource.Consistency.STALE_ALLOWED);
                    schedulePoll();
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void install(MeshVersion candidate, String from, Origin origin) {
        if (version.isPresent() && candidate.number() <= version.get().number()) {
            return;
        }
        version = Optional.of(candidate);
        lastInstalledAt = System.nanoTime();
        history.add(candidate);
        counters.add(NodeMetricNames.VERSIONS_INSTALLED);
        log.write(
                Event.VERSION_INSTALLED,
                "version",
                candidate.number(),
                "from",
                from,
                "routes",
                candidate.routeCount(),
                "bytes",
                candidate.source().length,
                "revision",
                revision);
        onInstalled.accept(origin);
    }

    /** Another node told which version it has. */
    public void onMemberUpdated(Member member) {
        fetcher.onMemberUpdated(
                member, version.isEmpty() ? System.nanoTime() : lastInstalledAt + MIN_INSTALL_INTERVAL_NANOS);
    }

    private long currentNumber() {
        return version.map(MeshVersion::number).orElse(0L);
    }

    private void onFetched(Member sender, byte[] encoded) {
        Origin origin = sender.state().zone().equals(zone) ? Origin.NEAR : Origin.FAR;
        switch (source.decode(encoded)) {
            case ConfigurationSource.ReadResult.Found found -> install(found.version(), sender.ip(), origin);
            case ConfigurationSource.ReadResult.Invalid invalid ->
                log.write(Event.VERSION_REFUSED, "from", sender.ip(), "why", invalid.reason());
            default -> log.write(Event.VERSION_REFUSED, "from", sender.ip(), "why", "unexpected answer");
        }
    }
}
