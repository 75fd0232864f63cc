package org.berylwick.node.version;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.transport.EventLoopClock;

/**
 * Keeps this node on the newest accepted configuration version. Confined to the event loop.
 *
 * <p>A few nodes in each availability zone, its readers, watch the store. The others learn of a new version by gossip
 * and fetch it from another node, preferably one in their own zone. In addition every node polls the store, because a
 * watch whose connection is dead cannot be told from one that has no changes to report. The polling interval grows with
 * the fleet, so that all nodes together cause about one read per second. Only a version with a higher number than the
 * one in force is ever installed.
 */
public final class VersionUpdater {
    /** Path on which a node serves its version to others; the number of the version that the caller has is appended. */
    public static final String VERSION_PATH = "/bw/version?base=";

    private static final long WATCH_TIMEOUT_MILLIS = 8_000;
    private static final long INITIAL_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long POLL_MILLIS_PER_NODE = 1_000;
    private static final long MIN_POLL_MILLIS = 2_000;
    /**
     * Minimum time between two installations. If versions are accepted faster, only the newest one is read and
     * installed, because each read parses the complete version, which is expensive on VMs with 0.3 of a CPU core.
     */
    private static final long MIN_INSTALL_INTERVAL_NANOS = 250_000_000L;

    private final EventLoop loop;
    private final ConfigurationSource store;
    private final MemberTable table;
    private final String zone;
    private final BooleanSupplier isReader;
    private final Consumer<Origin> onInstalled;
    private final Counters counters;
    private final EventLog log;
    private final VersionFreshness freshness;
    private final VersionHistory history = new VersionHistory();
    private final VersionFetcher fetcher;
    private Optional<ConfigurationVersion> version = Optional.empty();
    private long lastInstalledAt;
    private boolean storeReachable = true;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private boolean reading;
    private boolean watching;
    private long revision;

    /**
     * @param loop event loop on which everything runs
     * @param store store of the accepted versions
     * @param table the other nodes
     * @param zone availability zone of this node
     * @param isReader whether this node is one of the readers that watch the store for its zone
     * @param onInstalled called with the origin of each version after it was installed
     * @param counters metrics of this node
     * @param log event log of this node
     */
    public VersionUpdater(
            EventLoop loop,
            ConfigurationSource store,
            MemberTable table,
            String zone,
            BooleanSupplier isReader,
            Consumer<Origin> onInstalled,
            Counters counters,
            EventLog log) {
        this.loop = loop;
        this.store = store;
        this.table = table;
        this.zone = zone;
        this.isReader = isReader;
        this.onInstalled = onInstalled;
        this.counters = counters;
        this.log = log;
        this.freshness = new VersionFreshness(new EventLoopClock(loop), table, this::currentNumber, this::read);
        this.fetcher = new VersionFetcher(
                loop,
                table,
                zone,
                history,
                this::currentNumber,
                this::onFetched,
                this::read,
                new Instruments(counters, log));
    }

    /** The version in force on this node; empty until the first one is installed. */
    public Optional<ConfigurationVersion> version() {
        return version;
    }

    /** What is known of newer versions on other nodes. */
    public VersionFreshness freshness() {
        return freshness;
    }

    /** Whether the store responded to the latest call. */
    public boolean isStoreReachable() {
        return storeReachable;
    }

    /** Where a version was obtained. */
    public enum Origin {
        /** The platform's store. */
        STORE,
        /** A node in the same availability zone. */
        NEAR,
        /** A node in another availability zone. */
        FAR
    }

    /**
     * Encodes the version in force for another node, as a delta from the version that the other node has if possible.
     *
     * @param baseNumber number of the version that the other node has, 0 for none
     * @return the response body for {@link #VERSION_PATH}; empty if no newer version is in force here
     */
    public Optional<byte[]> encodeDeltaFrom(long baseNumber) {
        return history.deltaFrom(baseNumber).map(VersionHistory.VersionDelta::encode);
    }

    /** Reads the newest version from the store, and starts polling. */
    public void start() {
        read();
        schedulePoll();
    }

    /**
     * Reads the newest version from the store and then watches it, if this node has become a reader; called about once
     * per second.
     */
    public void resumeIfReader() {
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
        counters.increment(NodeMetricNames.STORE_READS);
        long startedAt = System.nanoTime();
        store.read(consistency, result -> {
            reading = false;
            if (consistency == ConfigurationSource.Consistency.LINEARIZABLE
                    && result instanceof ConfigurationSource.ReadResult.Found found) {
                freshness.onStoreRead(found.version().number(), startedAt);
            }
            onReadResult(result);
            freshness.onStoreReadEnded();
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
                counters.increment(NodeMetricNames.STORE_ENTRIES_UNUSABLE);
                log.write(Event.VERSION_REFUSED, "from", "store", "why", invalid.reason());
                // The version in force is kept. A valid one arrives with the next change, so that reading the same
                // content again is of no use.
                revision = Math.max(revision, invalid.revision());
                scheduleRetry(this::watch);
            }
            case ConfigurationSource.ReadResult.HistoryGone gone -> {
                // The read is delayed: a store that has dropped its history under overload must not be read in a tight
                // loop.
                counters.increment(NodeMetricNames.STORE_HISTORY_GONE);
                scheduleRetry(this::read);
            }
            case ConfigurationSource.ReadResult.Failed failed -> {
                onStoreUnreachable(failed.cause());
                scheduleRetry(this::read);
            }
        }
    }

    /**
     * Resumes the watch after a version was read. During a burst of versions, the newest one is read after a delay
     * instead, because a watch would return each of them.
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
        counters.increment(NodeMetricNames.STORE_FAILURES);
        if (storeReachable) {
            storeReachable = false;
            log.write(
                    Event.STORE_LOST,
                    "cause",
                    cause,
                    "follows",
                    "new configuration versions are fetched from other nodes");
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
        counters.increment(NodeMetricNames.STORE_WATCHES);
        store.watch(revision, WATCH_TIMEOUT_MILLIS, result -> {
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
                    // A fallback in case neither the watch nor gossip has reported a new version. For nodes
                    // that are not readers, a result that is a few seconds old is sufficient.
                    read(
                            isReader.getAsBoolean()
                                    ? ConfigurationSource.Consistency.LINEARIZABLE
                                    : ConfigurationSource.Consistency.STALE_ALLOWED);
                    schedulePoll();
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void install(ConfigurationVersion candidate, String from, Origin origin) {
        if (version.isPresent() && candidate.number() <= version.get().number()) {
            return;
        }
        version = Optional.of(candidate);
        lastInstalledAt = System.nanoTime();
        history.add(candidate);
        counters.increment(NodeMetricNames.VERSIONS_INSTALLED);
        log.write(
                Event.VERSION_INSTALLED,
                "version",
                candidate.number(),
                "from",
                from,
                "routes",
                candidate.routeCount(),
                "bytes",
                candidate.encoded().length,
                "revision",
                revision,
                "knownMs",
                freshness.knownForMillis(candidate.number()));
        freshness.decideWaiting();
        onInstalled.accept(origin);
    }

    /** Fetches the version in force on another node if it is newer than the one here. */
    public void onMemberUpdated(Member member) {
        freshness.onMemberUpdated(member);
        fetcher.onMemberUpdated(
                member, version.isEmpty() ? System.nanoTime() : lastInstalledAt + MIN_INSTALL_INTERVAL_NANOS);
    }

    private long currentNumber() {
        return version.map(ConfigurationVersion::number).orElse(0L);
    }

    private void onFetched(Member sender, byte[] encoded) {
        Origin origin = sender.state().zone().equals(zone) ? Origin.NEAR : Origin.FAR;
        long previousNumber = currentNumber();
        switch (store.decode(encoded)) {
            case ConfigurationSource.ReadResult.Found found -> install(found.version(), sender.ip(), origin);
            case ConfigurationSource.ReadResult.Invalid invalid ->
                log.write(Event.VERSION_REFUSED, "from", sender.ip(), "why", invalid.reason());
            default ->
                log.write(
                        Event.VERSION_REFUSED,
                        "from",
                        sender.ip(),
                        "why",
                        "decoder returned neither a version nor an error");
        }
        // Newer versions may have been announced meanwhile, and the next announcement may be seconds away. A sender
        // whose version is not newer than the previous one is not asked again until then.
        if (currentNumber() > previousNumber) {
            fetcher.fetchIfOutdated(lastInstalledAt + MIN_INSTALL_INTERVAL_NANOS);
        }
    }
}
