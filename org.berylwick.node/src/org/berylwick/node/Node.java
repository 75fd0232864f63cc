package org.berylwick.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.call.Backend;
import org.berylwick.node.call.BackendProbe;
import org.berylwick.node.call.CallPath;
import org.berylwick.node.call.CandidateSampler;
import org.berylwick.node.call.EntryServer;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.PeerServer;
import org.berylwick.node.call.RetryBudget;
import org.berylwick.node.call.VersionChoice;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.member.DirectoryRegistration;
import org.berylwick.node.member.EntryInquiry;
import org.berylwick.node.member.Gossip;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeDirectory;
import org.berylwick.node.member.NodeDiscovery;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.quarantine.QuarantineExchange;
import org.berylwick.node.quota.NodeQuota;
import org.berylwick.node.quota.QuotaExchange;
import org.berylwick.node.rollout.RolloutController;
import org.berylwick.node.rollout.RolloutVersionChoice;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.transport.ConnectionPool;
import org.berylwick.node.transport.EventLoopClock;
import org.berylwick.node.transport.VmLink;
import org.berylwick.node.version.VersionUpdater;

/**
 * A node: assembles its components, opens its ports and shuts down gracefully. All state is confined to one event loop.
 */
public final class Node implements AutoCloseable {
    private static final int PEER_CONNECT_TIMEOUT_MILLIS = 400;
    private static final long PEER_MAX_IDLE_NANOS = 20_000_000_000L;
    private static final int BACKEND_CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long BACKEND_MAX_IDLE_NANOS = 30_000_000_000L;
    private static final long TICK_INTERVAL_MILLIS = 1_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 100;

    private final NodePlatform platform;
    private final NodeSettings settings;
    private final long startedAt = System.nanoTime();
    private final StartSequence startSequence = new StartSequence();
    private final StartupGate startupGate = new StartupGate(startedAt);
    private final long bootId = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
    private final Counters counters = new Counters();
    private final EventLog log;
    private final MultiThreadIoEventLoopGroup eventLoopGroup;
    private final SingleThreadEventLoop loop;
    private final MemberLog memberLog;
    private final MemberTable members;
    private final Owner owner;
    private final VmLink link;
    private final Quarantine quarantine;
    private final Gossip gossip;
    private final StoreReaders storeReaders;
    private final VersionUpdater versionUpdater;
    private final NodeDiscovery discovery;
    /** Empty on a platform without roll-outs. */
    private final Optional<RolloutController> rollouts;

    private final NodeQuota quota;
    private final EntryServer entryServer;
    private final PeerServer peerServer;
    private final GracefulShutdown shutdown;
    private final HeartbeatHandler heartbeatHandler;
    private final BackendProbe backendProbe;
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    /** Requests in progress when the shutdown was complete, -1 until then. */
    private volatile int pendingAtShutdown = -1;

    private volatile String service;
    private long stateSequence;
    /** The node was asked to stop and reports to callers that it is not ready. */
    private boolean shuttingDown;
    /** Other nodes are told to send no more requests to the backend server of this node. */
    private boolean leaving;

    private boolean wasReady;
    private volatile boolean callerPortOpened;

    /**
     * Creates a node that is not started.
     *
     * @param platform platform on which the node runs
     * @param log receives the events of the node
     */
    public Node(NodePlatform platform, EventLog log) {
        this.platform = platform;
        this.settings = platform.settings();
        this.service = settings.service();
        this.log = log;
        this.eventLoopGroup =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", false), NioIoHandler.newFactory());
        this.loop = (SingleThreadEventLoop) eventLoopGroup.next();
        this.memberLog = new MemberLog(new Instruments(counters, log));
        this.members = new MemberTable(this::createPeerPool, memberLog::onSuspected);
        Clock clock = new EventLoopClock(loop);
        this.link = VmLink.of(settings.linkMbps(), clock);
        this.quarantine = new Quarantine(clock::now, new HoldLog(new Instruments(counters, log)));
        this.owner = createOwner(clock);
        this.heartbeatHandler =
                new HeartbeatHandler(clock, platform.heartbeatProtocol(), owner, new Instruments(counters, log));
        this.backendProbe = new BackendProbe(loop, settings, platform.headerNames(), owner, log);
        this.gossip = new Gossip(
                loop, settings.ip(), settings.gossipPort(), members, this::localState, counters, log, this::onGossip);
        gossip.setFormerBackendListener(
                former -> owner.onFormerState(Incarnation.parse(former.incarnation()), former.state()));
        new QuarantineExchange(clock, quarantine, gossip);
        this.storeReaders = new StoreReaders(settings, members, gossip::silenceTimeoutNanos, () -> !leaving);
        this.versionUpdater = new VersionUpdater(
                loop,
                platform.configurationSource(loop),
                members,
                settings.zone(),
                storeReaders::isReader,
                this::onInstalled,
                counters,
                log);
        this.discovery = createDiscovery(clock);
        this.rollouts = createRollouts(clock);
        this.quota = createQuota(clock);
        RetryBudget budget =
                new RetryBudget(settings.bounds(), this::nodeCount, discovery::isDirectoryRead, System.nanoTime());
        this.entryServer = createEntryServer(budget);
        this.peerServer = new PeerServer(loop, settings.peerAddress(), owner, link, versionUpdater::encodeDeltaFrom);
        this.shutdown = new GracefulShutdown(
                loop,
                log,
                settings.bounds().graceNanos(),
                owner,
                entryServer,
                peerServer,
                () -> {
                    leaving = true;
                    gossip.scheduleBroadcast();
                },
                this::onShutdownComplete);
    }

    private void onShutdownComplete() {
        pendingAtShutdown = owner.pendingCount() + entryServer.pendingRequests();
        shutdownComplete.countDown();
    }

    private Owner createOwner(Clock clock) {
        return new Owner(
                clock,
                backendAddress -> new ConnectionPool(
                                loop, backendAddress, BACKEND_CONNECT_TIMEOUT_MILLIS, BACKEND_MAX_IDLE_NANOS)
                        .onResponseFault(new ResponseFaultLog(counters, log)),
                platform.headerNames(),
                link,
                settings.heartbeatNanos(),
                counters,
                log,
                this::onBackendChange,
                quarantine,
                () -> members.countByService(settings.zone(), service));
    }

    private Optional<RolloutController> createRollouts(Clock clock) {
        if (settings.bounds().exposureShare() == 0) {
            return Optional.empty();
        }
        return Optional.of(new RolloutController(
                clock,
                platform.rolloutOrders(loop),
                members,
                owner,
                storeReaders::isReader,
                gossip::scheduleBroadcast,
                new Instruments(counters, log)));
    }

    private NodeDiscovery createDiscovery(Clock clock) {
        NodeDirectory directory = platform.directory(loop);
        Instruments instruments = new Instruments(counters, log);
        DirectoryRegistration registration = new DirectoryRegistration(
                clock, directory, instruments, settings.vmName(), settings.ip(), quarantine::lastingCrashes);
        EntryInquiry inquiry = new EntryInquiry(
                clock,
                settings.vmName(),
                bootId,
                directory,
                members,
                gossip,
                () -> registration.isRegistered() && versionUpdater.isStoreReachable(),
                this::onDeparturesRead,
                instruments);
        registration.setUnansweredListener(inquiry::startOnce);
        registration.setEntryListener(entry -> {
            inquiry.end();
            entry.crashes().forEach(quarantine::merge);
            onDeparturesRead(entry.departures());
        });
        owner.setDepartureRecord(registration);
        quarantine.setLastingHoldListener(registration::recordCrashes);
        return new NodeDiscovery(
                loop, directory, registration, gossip, instruments, crashes -> crashes.forEach(quarantine::merge));
    }

    private void onDeparturesRead(List<String> departures) {
        owner.onDeparturesRead(departures.stream().map(Incarnation::parse).toList());
    }

    private NodeQuota createQuota(Clock clock) {
        NodeQuotaFleet fleet = new NodeQuotaFleet(
                settings.ip(),
                storeReaders,
                members,
                gossip::silenceTimeoutNanos,
                () -> gossip.peerAddressCount(NodeQuotaFleet.MAX_SILENCE_NANOS) + 1,
                discovery::isDirectoryRead);
        return QuotaExchange.createQuota(clock, fleet, gossip, versionUpdater::version, new Instruments(counters, log));
    }

    private EntryServer createEntryServer(RetryBudget budget) {
        CallPath.Callers callers = new CallPath.Callers(
                platform.headerNames(), versionUpdater::version, versionUpdater.freshness(), () -> service, quota);
        return CallPath.createEntryServer(
                loop, settings, callers, owner, link, createCandidateSampler(), budget, new Instruments(counters, log));
    }

    private CandidateSampler createCandidateSampler() {
        return new CandidateSampler(
                settings.zone(),
                settings.region(),
                platform.regionOfZone(),
                members,
                gossip::silenceTimeoutNanos,
                owner,
                rollouts.<VersionChoice>map(r ->
                                new RolloutVersionChoice(r, settings.bounds().exposureShare()))
                        .orElse(VersionChoice.NONE),
                () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Returns the number of nodes including this one: the larger of those heard from and those listed. */
    private int nodeCount() {
        return Math.max(members.all().size(), gossip.peerAddressCount()) + 1;
    }

    private ConnectionPool createPeerPool(String ip) {
        InetSocketAddress target =
                new InetSocketAddress(ip, settings.peerAddress().getPort());
        return new ConnectionPool(loop, target, PEER_CONNECT_TIMEOUT_MILLIS, PEER_MAX_IDLE_NANOS)
                .onResponseFault(new ResponseFaultLog(counters, log));
    }

    /** Opens the ports and starts all components, unless the node has been asked to stop, also in the meantime. */
    public void start() {
        NodeGauges.register(
                new Instruments(counters, log), owner, peerServer, link, versionUpdater, members, gossip, quarantine);
        List<Runnable> steps = List.of(
                () -> BufferedHttpServer.openDeferred(loop, settings.heartbeatAddress(), heartbeatHandler),
                gossip::start,
                peerServer::start,
                this::openMetricsPort,
                () -> loop.submit(this::startBackgroundTasks).syncUninterruptibly(),
                this::openCallerPort,
                () -> BufferedHttpServer.open(loop, settings.readinessAddress(), request -> handleReadinessRequest()));
        if (!startSequence.run(steps)) {
            return;
        }
        log.write(
                Event.STARTED,
                "ip",
                settings.ip(),
                "zone",
                settings.zone(),
                "service",
                service,
                "boot",
                bootId,
                "openAfterMs",
                (System.nanoTime() - startedAt) / 1_000_000);
    }

    private void openMetricsPort() {
        if (settings.metricsPort() > 0) {
            InetSocketAddress metricsAddress = new InetSocketAddress(settings.ip(), settings.metricsPort());
            BufferedHttpServer.open(
                    loop,
                    metricsAddress,
                    request -> BufferedHttpServer.Response.of(
                            "text/plain", counters.render().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void openCallerPort() {
        entryServer.start();
        callerPortOpened = true;
    }

    private void startBackgroundTasks() {
        for (InetSocketAddress seed : settings.seeds()) {
            gossip.addPeerAddress(seed.getAddress().getHostAddress());
        }
        versionUpdater.start();
        discovery.start();
        rollouts.ifPresent(RolloutController::start);
        loop.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        owner.tick();
        versionUpdater.resumeIfReader();
        logReadinessChange();
    }

    private void logReadinessChange() {
        boolean ready = isReady();
        if (ready != wasReady) {
            wasReady = ready;
            log.write(
                    Event.READY_CHANGED,
                    "ready",
                    ready,
                    "version",
                    versionUpdater.version().map(v -> v.number()).orElse(0L),
                    "members",
                    members.all().size(),
                    "leaving",
                    shuttingDown);
        }
    }

    private boolean isReady() {
        if (shuttingDown || versionUpdater.version().isEmpty()) {
            return false;
        }
        return startupGate.isOpen(
                !members.all().isEmpty(), versionUpdater.freshness().isOutdated());
    }

    private BufferedHttpServer.Response handleReadinessRequest() {
        if (isReady()) {
            return BufferedHttpServer.Response.ofStatus(200);
        }
        shutdown.onReadinessProbeFailed();
        return BufferedHttpServer.Response.ofStatus(503);
    }

    private NodeState localState() {
        Optional<Backend> backend = owner.backend();
        return new NodeState(
                bootId,
                ++stateSequence,
                settings.zone(),
                storeReaders.linkMbps(),
                versionUpdater.version().map(v -> v.number()).orElse(0L),
                versionUpdater.isStoreReachable(),
                leaving,
                backend.map(Backend::service).orElse(service),
                backend.map(server -> server.incarnation().text()).orElse(""),
                backend.map(Backend::state).orElse(BackendState.ABSENT),
                backend.map(b -> b.warmUpNanos(System.nanoTime())).orElse(0L),
                owner.load(),
                owner.serviceTimes(),
                rollouts.map(RolloutController::notice).orElse(RolloutNotice.NONE));
    }

    private void onBackendChange() {
        rollouts.ifPresent(RolloutController::onBackendChange);
        gossip.scheduleBroadcast();
    }

    private void onInstalled(VersionUpdater.Origin origin) {
        // A node that read the version from the store announces it to all nodes. One that fetched it from another
        // availability zone announces it to its own zone, so that the nodes there need not fetch it from afar.
        // One that fetched it within its zone makes no extra announcement.
        switch (origin) {
            case STORE -> gossip.scheduleBroadcast();
            case FAR -> gossip.broadcastToZoneNow(settings.zone());
            case NEAR -> {}
        }
        versionUpdater.version().ifPresent(backendProbe::startOnce);
        quota.setActive(versionUpdater.version().stream().anyMatch(ConfigurationVersion::hasLimits));
        logReadinessChange();
    }

    private void onGossip(Member member, MemberTable.UpdateResult updateResult) {
        versionUpdater.onMemberUpdated(member);
        rollouts.ifPresent(
                r -> r.onNotice(member.state().service(), member.state().rollout()));
        if (updateResult == MemberTable.UpdateResult.SAME) {
            return;
        }
        memberLog.onChanged(member, updateResult);
    }

    /** Reloads the settings without interrupting calls. */
    public void reload() {
        Optional<NodeSettings> reloaded = platform.reloadSettings();
        if (reloaded.isEmpty()) {
            log.write(Event.SETTINGS_REFUSED, "follows", "the previous settings remain in force");
            return;
        }
        service = reloaded.get().service();
        loop.execute(() -> {
            for (InetSocketAddress seed : reloaded.get().seeds()) {
                gossip.addPeerAddress(seed.getAddress().getHostAddress());
            }
        });
        log.write(
                Event.SETTINGS_RELOADED,
                "service",
                service,
                "seeds",
                reloaded.get().seeds().size());
    }

    /**
     * Stops gracefully: routes callers to other nodes, then completes the pending requests and accepts no new ones.
     * Returns when that is done, or when the grace period is nearly over.
     */
    public void stop() {
        long signalledAt = System.nanoTime();
        startSequence.end();
        boolean hasCallers = callerPortOpened;
        log.write(
                Event.STOPPING,
                "graceMs",
                settings.bounds().graceNanos() / 1_000_000,
                "sinceStartMs",
                (signalledAt - startedAt) / 1_000_000,
                "callers",
                hasCallers);
        loop.execute(() -> {
            shuttingDown = true;
            logReadinessChange();
            shutdown.start(signalledAt, hasCallers);
        });
        try {
            long endAt = signalledAt + settings.bounds().graceNanos() - GracefulShutdown.PROCESS_EXIT_MARGIN_NANOS;
            shutdownComplete.await(endAt - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.write(Event.STOPPED, "pending", pendingAtShutdown);
    }

    /** Returns the event loop on which all components run. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the metrics of this node. */
    public Counters counters() {
        return counters;
    }

    /** Closes everything immediately; call {@link #stop} first if calls may be pending. */
    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Waits until the event loop has ended after {@link #close}, for a limited time. */
    void awaitClosed() throws InterruptedException {
        eventLoopGroup.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
