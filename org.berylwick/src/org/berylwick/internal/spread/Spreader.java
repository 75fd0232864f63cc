package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.MembershipEvent;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.internal.membership.FailureDetector;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.membership.MembershipTable.Hashes;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.proto.Heartbeat;
import org.berylwick.proto.Hello;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.VersionNotice;
import org.berylwick.transport.MemberMessages;
import org.berylwick.transport.PeerCalls;
import org.berylwick.transport.PeerStream;

/**
 * Spreads configuration versions and membership over streams between daemons.
 *
 * <p>A notice of each new version is sent over every stream immediately. A daemon that lacks the version fetches its
 * content from the peer whose notice arrived first. Heartbeats carry the number of the installed version and hashes of
 * the membership table, so that lost notices and records are detected and recovered. {@link #runOnce} must be called by
 * a single thread; other threads submit events through the queue.
 */
public final class Spreader implements PeerStream.Listener {
    private static final EventLog EVENTS = new EventLog(Spreader.class);
    private static final long MAINTENANCE_INTERVAL_MILLIS = 250;
    private static final long TOMBSTONE_RETENTION_MILLIS = 600_000;
    private static final int REQUIRED_STABLE_HEARTBEATS = 3;
    private static final int MAX_PROBE_RELAYS = 3;
    private static final int MAX_EVENTS_PER_RUN = 256;

    private final SpreadTuning tuning;
    private final LocalMember localMember;
    private final MembershipTable table;
    private final InstalledVersion installed;
    private final StoreFreshness freshness;
    private final PeerVersionListener versionListener;
    private final Ring<SpreadEvent> eventQueue;
    private final TimeSource time;
    private final Random random;
    private final SpreadMetrics metrics;
    private final FailureDetector detector;
    private final LinkTable links;
    private final Prober prober;
    private final MembershipGossip gossip;
    private List<HostPort> discoveredAddresses = List.of();
    private MembershipView chosenFromView = MembershipView.EMPTY;
    private List<Member> chosenPeers = List.of();
    private Deadline nextMaintenance;
    private Deadline nextProbe;
    private volatile int establishedLinkCount;
    private volatile boolean closed;

    /** Listener for the versions that peers have installed. */
    @FunctionalInterface
    public interface PeerVersionListener {
        /** The daemon at {@code address} has version {@code number} installed, which is newer than the local one. */
        void onNewerVersion(HostPort address, long number);

        /** A peer announced its installed version, which may be older than the local one. */
        default void onPeerVersion(Member peer, VersionId installed) {}
    }

    /** Collaborators of a spreader. */
    public record Dependencies(
            SpreadTuning tuning,
            LocalMember localMember,
            MembershipTable table,
            InstalledVersion installed,
            StoreFreshness freshness,
            PeerVersionListener versionListener,
            PeerCalls calls,
            Ring<SpreadEvent> eventQueue,
            SpreadMetrics metrics) {}

    /** Creates a spreader that has no streams yet. */
    public Spreader(Dependencies dependencies, TimeSource time, Random random) {
        tuning = dependencies.tuning();
        localMember = dependencies.localMember();
        table = dependencies.table();
        installed = dependencies.installed();
        freshness = dependencies.freshness();
        versionListener = dependencies.versionListener();
        eventQueue = dependencies.eventQueue();
        metrics = dependencies.metrics();
        this.time = time;
        this.random = random;
        detector = new FailureDetector(time, tuning.suspicionTimeoutMillis(), TOMBSTONE_RETENTION_MILLIS);
        links = new LinkTable(tuning, dependencies.calls(), this, time, random, metrics);
        prober = new Prober(dependencies.calls(), this::submit, time);
        gossip = new MembershipGossip(tuning, localMember, table, detector, links, time, metrics);
        nextMaintenance = new Deadline(time.nanoTime());
        nextProbe = Deadline.afterMillis(time, tuning.probeIntervalMillis());
        installed.addListener(v -> submit(new SpreadEvent.VersionInstalled()));
    }

    /**
     * Submits an event; may be called from any thread.
     *
     * <p>If the queue is full the event is dropped and counted. Heartbeats recover the state that it would have
     * conveyed.
     */
    public void submit(SpreadEvent event) {
        if (eventQueue.offer(event) == Ring.Offer.FULL) {
            metrics.onEventRefused();
        }
    }

    @Override
    public void received(PeerStream stream, PeerMessage message) {
        if (closed) {
            stream.close();
            return;
        }
        submit(new SpreadEvent.MessageReceived(stream, message));
    }

    @Override
    public void closed(PeerStream stream, String reason) {
        submit(new SpreadEvent.StreamClosed(stream, reason));
    }

    /** Returns the number of established streams; may be called from any thread. */
    public int establishedLinkCount() {
        return establishedLinkCount;
    }

    /** Runs all pending work, then waits for one more event, at most until the next work is due. */
    public void runOnce() {
        processPending();
        Deadline nextDue = gossip.nextFlush(nextMaintenance);
        eventQueue.poll(nextDue.remainingNanos(time)).ifPresent(this::handleEvent);
        establishedLinkCount = links.established().size();
    }

    /** Handles queued events and runs all work that is due, without waiting. */
    public void processPending() {
        // Drains the queue before sending, so that one message carries all changes that arrived together.
        for (int i = 0; i < MAX_EVENTS_PER_RUN; i++) {
            Optional<SpreadEvent> event = eventQueue.poll(0);
            if (event.isEmpty()) {
                break;
            }
            handleEvent(event.get());
        }
        if (nextMaintenance.isPast(time)) {
            nextMaintenance = Deadline.afterMillis(time, MAINTENANCE_INTERVAL_MILLIS);
            runMaintenance();
        }
        sendDueHeartbeats();
        gossip.flush();
        establishedLinkCount = links.established().size();
    }

    private void handleEvent(SpreadEvent event) {
        switch (event) {
            case SpreadEvent.MessageReceived(PeerStream stream, PeerMessage message) ->
                links.find(stream)
                        .or(() -> message.hasHello() ? links.admit(stream) : Optional.empty())
                        .ifPresent(l -> handleMessage(l, message));
            case SpreadEvent.StreamClosed(PeerStream stream, String reason) ->
                links.find(stream).ifPresent(l -> {
                    links.onClosed(l);
                    l.peer.or(() -> memberAt(l.address)).ifPresent(this::probe);
                });
            case SpreadEvent.VersionInstalled() -> {
                gossip.merge(List.of(), null);
                links.established().forEach(this::sendVersionNotice);
            }
            case SpreadEvent.PeersDiscovered(List<HostPort> addresses) -> {
                discoveredAddresses = List.copyOf(addresses);
                join();
            }
            case SpreadEvent.MemberUnreachable(Member member) -> onUnreachable(member);
            case SpreadEvent.MemberReachable(Member member) -> {
                if (member.state() == Member.State.SUSPECT || member.state() == Member.State.GONE) {
                    links.open(member.address()).ifPresent(this::sendHello);
                }
            }
        }
    }

    private void handleMessage(PeerLink link, PeerMessage message) {
        link.lastReceivedNanos = time.nanoTime();
        switch (message.getBodyCase()) {
            case HELLO -> onHello(link, message.getHello());
            case VERSION -> onVersionNotice(link, message.getVersion());
            case MEMBERSHIP -> gossip.onDelta(message.getMembership(), link);
            case HEARTBEAT -> onHeartbeat(link, message.getHeartbeat());
            case SUMMARY -> gossip.onSummary(message.getSummary(), link);
            case REPORTS -> gossip.onReports(message.getReports(), link);
            case REFUSED -> links.onRefused(link, message.getRefused().getRetryAfterMs());
            case BODY_NOT_SET -> {}
        }
    }

    private void onHello(PeerLink link, Hello hello) {
        switch (MemberMessages.toMember(hello.getSelf())) {
            case Result.Err<Member, String>(String detail) -> {
                EVENTS.log(MembershipEvent.UNREADABLE_RECORD, link.address, detail);
                links.close(link);
            }
            case Result.Ok<Member, String>(Member peer)
            when peer.instance().equals(localMember.current().instance()) -> links.close(link);
            case Result.Ok<Member, String>(Member peer) -> {
                links.onEstablished(link, peer);
                if (!link.outgoing) {
                    sendHello(link);
                }
                gossip.merge(List.of(peer), link);
                onVersionNotice(link, hello.getVersion());
                sendVersionNotice(link);
                sendHeartbeat(link);
            }
        }
    }

    private void sendHello(PeerLink link) {
        VersionId id = installed.snapshot().id();
        link.advertisedVersion = id.number();
        link.send(PeerMessage.newBuilder()
                .setHello(Hello.newBuilder()
                        .setSelf(MemberMessages.toMessage(localMember.current()))
                        .setVersion(VersionDeltaEncoder.toNotice(id)))
                .build());
    }

    private void join() {
        List<HostPort> shuffled = new ArrayList<>(discoveredAddresses);
        shuffled.remove(localMember.current().address());
        if (!links.established().isEmpty()) {
            table.view().all().stream()
                    .filter(m -> m.state() != Member.State.GONE)
                    .forEach(m -> shuffled.remove(m.address()));
        }
        Collections.shuffle(shuffled, random);
        shuffled.stream().limit(tuning.fanOut()).forEach(a -> links.open(a).ifPresent(this::sendHello));
    }

    private void onVersionNotice(PeerLink link, VersionNotice notice) {
        VersionDeltaEncoder.toVersionId(notice)
                .ifPresent(id -> link.peer.ifPresent(p -> versionListener.onPeerVersion(p, id)));
        updatePeerVersion(link, notice.getVersion());
    }

    private void updatePeerVersion(PeerLink link, long version) {
        link.peerVersion = Math.max(link.peerVersion, version);
        if (version > installed.snapshot().id().number()) {
            versionListener.onNewerVersion(link.address, version);
        }
    }

    private void sendVersionNotice(PeerLink link) {
        VersionId id = installed.snapshot().id();
        if (id.number() <= link.peerVersion || id.number() <= link.advertisedVersion) {
            return;
        }
        link.advertisedVersion = id.number();
        link.send(PeerMessage.newBuilder()
                .setVersion(VersionDeltaEncoder.toNotice(id))
                .build());
    }

    private void sendDueHeartbeats() {
        long now = time.nanoTime();
        for (PeerLink link : links.established()) {
            if (now - link.nextHeartbeatNanos >= 0) {
                sendHeartbeat(link);
            }
        }
    }

    private void sendHeartbeat(PeerLink link) {
        link.nextHeartbeatNanos = time.nanoTime() + tuning.heartbeatMillis() * 1_000_000L;
        if (!link.stream.isReady()) {
            return;
        }
        Hashes local = table.hashes();
        link.send(PeerMessage.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder()
                        .setVersion(installed.snapshot().id().number())
                        .setMembersDigest(local.states())
                        .setReportsDigest(local.versions())
                        .setStoreAgeMs((int) Math.min(Integer.MAX_VALUE, freshness.ageMillis())))
                .build());
    }

    private void onHeartbeat(PeerLink link, Heartbeat heartbeat) {
        freshness.recordPeerContact(Integer.toUnsignedLong(heartbeat.getStoreAgeMs()));
        updatePeerVersion(link, heartbeat.getVersion());
        Hashes local = table.hashes();
        Hashes remote = new Hashes(heartbeat.getMembersDigest(), heartbeat.getReportsDigest());
        if (!link.needsSync(local, remote, REQUIRED_STABLE_HEARTBEATS)) {
            return;
        }
        if (local.states() != remote.states()) {
            gossip.sendSummary(link);
        } else {
            gossip.enqueueAllReports(link);
        }
    }

    private void runMaintenance() {
        Member self = localMember.current();
        gossip.merge(List.of(), null);
        links.closeSilent().forEach(l -> l.peer.or(() -> memberAt(l.address)).ifPresent(this::probe));
        gossip.merge(detector.removeExpiredSuspicions(table.view()), null);
        detector.removeExpiredTombstones().forEach(table::remove);
        links.reconcile(choosePeers(self)).forEach(this::sendHello);
        // Without any established stream, retry the discovered addresses, each after its own backoff delay.
        if (links.established().isEmpty()) {
            join();
        }
        if (nextProbe.isPast(time)) {
            nextProbe = Deadline.afterMillis(
                    time, tuning.probeIntervalMillis() / 2 + random.nextLong(tuning.probeIntervalMillis()));
            List<Member> others = table.view().all().stream()
                    .filter(m -> !m.instance().equals(self.instance()))
                    .toList();
            if (!others.isEmpty()) {
                probe(others.get(random.nextInt(others.size())));
            }
        }
    }

    private List<Member> choosePeers(Member self) {
        if (self.state() == Member.State.LEAVING) {
            return List.of();
        }
        MembershipView view = table.view();
        if (view != chosenFromView) {
            chosenFromView = view;
            chosenPeers = PeerChooser.choose(self, view.all(), tuning.fanOut());
        }
        return chosenPeers;
    }

    private Optional<Member> memberAt(HostPort address) {
        return table.view().all().stream()
                .filter(m -> m.address().equals(address))
                .findFirst();
    }

    private void probe(Member member) {
        Member latest = table.view().find(member.instance()).orElse(member);
        List<Member> relays = new ArrayList<>();
        for (PeerLink link : links.established()) {
            if (relays.size() < MAX_PROBE_RELAYS && !link.peer.get().instance().equals(latest.instance())) {
                relays.add(link.peer.get());
            }
        }
        prober.probe(latest, relays);
    }

    private void onUnreachable(Member probed) {
        Optional<Member> latest = table.view().find(probed.instance());
        if (latest.isEmpty() || latest.get().incarnation() != probed.incarnation()) {
            return;
        }
        detector.probeFailed(latest.get()).ifPresent(suspect -> {
            metrics.suspected.inc();
            gossip.merge(List.of(suspect), null);
        });
    }

    /** Sends the final local record, such as a leaving state, to all peers and closes all streams. */
    public void close() {
        closed = true;
        gossip.merge(List.of(), null);
        gossip.flushRecordsNow();
        links.closeAll();
    }
}
