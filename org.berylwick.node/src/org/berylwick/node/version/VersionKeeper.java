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
public final class VersionKeeper {
    /** Where nodes read the version in force at another; the number of the one they have follows. */
    public static final String VERSION_PATH = "/bw/version?base=";

    private static final long WATCH_MILLIS = 8_000;
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long LONGEST_RETRY_MILLIS = 1_000;
    private static final long POLL_MILLIS_PER_NODE = 1_000;
    private static final long SHORTEST_POLL_MILLIS = 2_000;
    /**
     * Between two versions that are installed here. Of versions that come faster only the newest is read: each costs a
     * parse of the whole, on VMs with 0.3 of a core.
     */
    private static final long SPACING_NANOS = 250_000_000L;

    private final EventLoop loop;
    private final ConfigurationSource source;
    private final MemberTable table;
    private final String zone;
    private final BooleanSupplier isReader;
    private final Consumer<Origin> onInstalled;
    private final Counters counters;
    private final EventLog log;
    private final VersionShelf shelf = new VersionShelf();
    private final VersionFetcher fetcher;
    private Optional<MeshVersion> version = Optional.empty();
    private long installedAt;
    private boolean storeReached = true;
    private long retryMillis = FIRST_RETRY_MILLIS;
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
    public VersionKeeper(
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
                loop, table, zone, shelf, this::number, this::onFetched, new Instruments(counters, log));
    }

    /** The version in force here. */
    public Optional<MeshVersion> version() {
        return version;
    }

    /** Whether the store answered the last call. */
    public boolean storeReached() {
        return storeReached;
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
     * @param base number of the version it has, 0 for none
     * @return empty if there is nothing newer here
     */
    public Optional<byte[]> deliver(long base) {
        return shelf.deliver(base).map(VersionShelf.Delivery::bytes);
    }

    /** Starts. */
    public void start() {
        read();
        planPoll();
    }

    /** Takes up the watch if this node became a reader; called about once a second. */
    public void tick() {
        if (!reading && !watching && isReader.getAsBoolean()) {
            read();
        }
    }

    private void read() {
        read(ConfigurationSource.Freshness.NEWEST);
    }

    private void read(ConfigurationSource.Freshness freshness) {
        if (reading) {
            return;
        }
        reading = true;
        counters.increment(NodeMetricNames.STORE_READS);
        source.read(freshness, answer -> {
            reading = false;
            onAnswer(answer);
        });
    }

    private void onAnswer(ConfigurationSource.Answer answer) {
        switch (answer) {
            case ConfigurationSource.Answer.Found found -> {
                onReached();
                revision = Math.max(revision, found.revision());
                boolean burst = isWithinSpacing(System.nanoTime());
                install(found.version(), "store", Origin.STORE);
                readOn(burst);
            }
            case ConfigurationSource.Answer.Unchanged unchanged -> {
                onReached();
                revision = Math.max(revision, unchanged.revision());
                watchOn();
            }
            case ConfigurationSource.Answer.Missing missing -> {
                onReached();
                retry(this::read);
            }
            case ConfigurationSource.Answer.Invalid invalid -> {
                onReached();
                log.write(Event.VERSION_REFUSED, "from", "store", "why", invalid.why());
                retry(this::read);
            }
            case ConfigurationSource.Answer.HistoryGone gone -> {
                // Not at once: a store that has lost its history to an overload would be asked without pause.
                counters.increment(NodeMetricNames.STORE_HISTORY_GONE);
                retry(this::read);
            }
            case ConfigurationSource.Answer.Failed failed -> {
                onLost(failed.cause());
                retry(this::read);
            }
        }
    }

    /**
     * Watches on. In a burst it waits and reads the newest version alone: a watch is answered with every one of them.
     */
    private void readOn(boolean burst) {
        if (!burst || reading) {
            watchOn();
            return;
        }
        loop.schedule(this::readAsReader, SPACING_NANOS, TimeUnit.NANOSECONDS);
    }

    private void readAsReader() {
        if (!watching && isReader.getAsBoolean()) {
            read();
        }
    }

    private boolean isWithinSpacing(long now) {
        return version.isPresent() && now - installedAt < SPACING_NANOS;
    }

    private void onReached() {
        retryMillis = FIRST_RETRY_MILLIS;
        if (!storeReached) {
            storeReached = true;
            log.write(Event.STORE_REGAINED, "revision", revision);
        }
    }

    private void onLost(String cause) {
        counters.increment(NodeMetricNames.STORE_FAILURES);
        if (storeReached) {
            storeReached = false;
            log.write(Event.STORE_LOST, "cause", cause, "follows", "versions come from other nodes");
        }
    }

    private void retry(Runnable task) {
        long millis = retryMillis / 2 + ThreadLocalRandom.current().nextLong(retryMillis);
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2);
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void watchOn() {
        if (watching || !isReader.getAsBoolean()) {
            return;
        }
        watching = true;
        counters.increment(NodeMetricNames.STORE_WATCHES);
        source.watch(revision, WATCH_MILLIS, answer -> {
            watching = false;
            onAnswer(answer);
        });
    }

    private void planPoll() {
        long nodes = table.all().size() + 1L;
        long period = Math.max(SHORTEST_POLL_MILLIS, POLL_MILLIS_PER_NODE * nodes);
        long millis = period / 2 + ThreadLocalRandom.current().nextLong(period);
        loop.schedule(
                () -> {
                    // Only to find out that nothing else told of a version for seconds.
                    read(
                            isReader.getAsBoolean()
                                    ? ConfigurationSource.Freshness.NEWEST
                                    : ConfigurationSource.Freshness.RECENT);
                    planPoll();
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void install(MeshVersion fresh, String from, Origin origin) {
        if (version.isPresent() && fresh.number() <= version.get().number()) {
            return;
        }
        version = Optional.of(fresh);
        installedAt = System.nanoTime();
        shelf.add(fresh);
        counters.increment(NodeMetricNames.VERSIONS_INSTALLED);
        log.write(
                Event.VERSION_INSTALLED,
                "version",
                fresh.number(),
                "from",
                from,
                "routes",
                fresh.routeCount(),
                "bytes",
                fresh.source().length,
                "revision",
                revision);
        onInstalled.accept(origin);
    }

    /** Another node told which version it has. */
    public void onHeard(Member member) {
        fetcher.onHeard(member, version.isEmpty() ? System.nanoTime() : installedAt + SPACING_NANOS);
    }

    private long number() {
        return version.map(MeshVersion::number).orElse(0L);
    }

    private void onFetched(Member from, byte[] whole) {
        Origin origin = from.state().zone().equals(zone) ? Origin.NEAR : Origin.FAR;
        switch (source.decode(whole)) {
            case ConfigurationSource.Answer.Found found -> install(found.version(), from.ip(), origin);
            case ConfigurationSource.Answer.Invalid invalid ->
                log.write(Event.VERSION_REFUSED, "from", from.ip(), "why", invalid.why());
            default -> log.write(Event.VERSION_REFUSED, "from", from.ip(), "why", "unexpected answer");
        }
    }
}
