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
 * Spreads versions and membership over streams between daemons.
 *
 * <p>A notice of each new version goes over every stream at once; who lacks it fetches the body from the one whose
 * notice came first. Heartbeats tell the version in force and hashes of the membership table, so what a push lost is
 * found and made good. {@link #runOnce} is for one thread; anything else tells it through the ring.
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

    /** Takes word of versions that peers have and this daemon lacks. */
    @FunctionalInterface
    public interface PeerVersionListener {
        /** The daemon at {@code address} has version {@code number} in force. */
        void onNewerVersion(HostPort address, long number);

        /** A peer told which version it has in force. */
        default void onPeerVersion(Member peer, VersionId installed) {}
    }

    /** Everything that a spreader works with. */
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

    /** A spreader without streams. */
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

    /** Tells the spreader something, from any thread; what the full ring refuses, heartbeats make good. */
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

    /** How many peers this daemon exchanges with. */
    public int establishedLinkCount() {
        return establishedLinkCount;
    }

    /** Does what is due and what comes in until the next thing is due. */
    public void runOnce() {
        processPending();
        Deadline nextDue = gossip.nextFlush(nextMaintenance);
        eventQueue.poll(nextDue.remainingNanos(time)).ifPresent(this::handleEvent);
        establishedLinkCount = links.established().size();
    }

    /** Does what is due and takes what came in, without waiting. */
    public void processPending() {
        // Takes all that is there before sending, so that one message carries what came together.
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
        gossip.merge(detector.expired(table.view()), null);
        detector.forgettable().forEach(table::forget);
        links.reconcile(choosePeers(self)).forEach(this::sendHello);
        // Who was refused or found nobody tries the same addresses again, each after its own wait.
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
        detector.unreachable(latest.get()).ifPresent(suspect -> {
            metrics.suspected.inc();
            gossip.merge(List.of(suspect), null);
        });
    }

    /** Tells the peers of the last state, such as leaving, and ends all streams. */
    public void close() {
        closed = true;
        gossip.merge(List.of(), null);
        gossip.flushRecordsNow();
        links.closeAll();
    }
}
