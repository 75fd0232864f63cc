package org.berylwick.internal.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.ProbeReply;
import org.berylwick.testing.ManualTimeSource;
import org.berylwick.transport.PeerCalls;
import org.berylwick.transport.PeerStream;

/**
 * Simulated network of spreaders connected by in-memory streams. It runs on one thread with a clock that the test
 * advances; traffic can be cut separately in each direction.
 */
final class InMemoryNetwork {
    private static final Duration STEP = Duration.ofMillis(50);

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<HostPort, Node> nodes = new LinkedHashMap<>();
    private final Set<Direction> cutDirections = new HashSet<>();

    private record Direction(HostPort from, HostPort to) {}

    /** One simulated daemon: its spreader, membership table and installed version. */
    final class Node implements LocalMember, PeerCalls {
        final InstalledVersion installed = new InstalledVersion(time);
        final MembershipTable table = new MembershipTable();
        final Spreader spreader;
        Member.State state = Member.State.UP;
        boolean running = true;
        private final String instance;
        private final Place place;
        private final HostPort address;
        private final VersionDeltaEncoder deltaEncoder = new VersionDeltaEncoder(installed);
        private long incarnation = 1;

        private Node(int i, int zones) {
            instance = "daemon-" + i;
            place = new Place("region", "zone-" + i % zones);
            address = new HostPort("10.0.0.1", i + 1);
            spreader = new Spreader(
                    new Spreader.Dependencies(
                            SpreadTuning.DEFAULT,
                            this,
                            table,
                            installed,
                            new StoreFreshness(time),
                            this::pull,
                            this,
                            new Ring<>(4096),
                            new SpreadMetrics(new com.codahale.metrics.MetricRegistry())),
                    time,
                    new Random(i));
        }

        @Override
        public Member current() {
            return new Member(
                    instance,
                    "web",
                    address,
                    place,
                    Labels.EMPTY,
                    state,
                    incarnation,
                    12,
                    installed.snapshot().id().number(),
                    installed.inForce().sinceEpochMillis());
        }

        @Override
        public void refute(long newIncarnation) {
            incarnation = newIncarnation;
        }

        private void pull(HostPort from, long number) {
            if (!isReachable(address, from) || !isReachable(from, address)) {
                return;
            }
            byte[] gzip = nodes.get(from)
                    .deltaEncoder
                    .encode(installed.snapshot().id().number())
                    .orElseThrow();
            if (VersionDeltaDecoder.decode(gzip, installed.inForce())
                    instanceof Result.Ok<VersionContent, String>(VersionContent content)) {
                installed.install(content);
            }
        }

        @Override
        public PeerStream open(HostPort to, PeerStream.Listener listener) {
            InMemoryStream localEnd = new InMemoryStream(address, to, listener);
            if (!isReachable(address, to) || !isReachable(to, address)) {
                listener.closed(localEnd, "cannot connect");
                return localEnd;
            }
            InMemoryStream remoteEnd = new InMemoryStream(to, address, nodes.get(to).spreader);
            localEnd.remoteEnd = remoteEnd;
            remoteEnd.remoteEnd = localEnd;
            return localEnd;
        }

        @Override
        public CompletableFuture<Optional<ProbeReply>> probe(HostPort to, Deadline deadline) {
            boolean reachable = isReachable(address, to) && isReachable(to, address);
            return CompletableFuture.completedFuture(
                    reachable
                            ? Optional.of(ProbeReply.newBuilder()
                                    .setInstance(nodes.get(to).instance)
                                    .build())
                            : Optional.empty());
        }

        @Override
        public CompletableFuture<Optional<ProbeReply>> probeThrough(
                HostPort relay, HostPort target, Deadline deadline) {
            boolean reachable = isReachable(address, relay) && isReachable(relay, address);
            return reachable
                    ? nodes.get(relay).probe(target, deadline)
                    : CompletableFuture.completedFuture(Optional.empty());
        }
    }

    private final class InMemoryStream implements PeerStream {
        private final HostPort from;
        private final HostPort to;
        private final Listener listener;
        private InMemoryStream remoteEnd;
        private boolean closed;

        private InMemoryStream(HostPort from, HostPort to, Listener listener) {
            this.from = from;
            this.to = to;
            this.listener = listener;
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public void send(PeerMessage message) {
            if (!closed && remoteEnd != null && isReachable(from, to)) {
                remoteEnd.listener.received(remoteEnd, message);
            }
        }

        @Override
        public void close() {
            if (!closed && remoteEnd != null && isReachable(from, to)) {
                remoteEnd.closed = true;
                remoteEnd.listener.closed(remoteEnd, "closed by the peer");
            }
            closed = true;
        }
    }

    /**
     * Adds daemons, distributed over {@code zones} zones; each is given the address of the first daemon to join
     * through.
     */
    List<Node> addDaemons(int count, int zones) {
        List<Node> added = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Node node = new Node(nodes.size(), zones);
            nodes.put(node.address, node);
            added.add(node);
        }
        HostPort seed = nodes.keySet().iterator().next();
        added.forEach(n -> n.spreader.submit(new SpreadEvent.PeersDiscovered(List.of(seed))));
        return added;
    }

    private boolean isReachable(HostPort from, HostPort to) {
        return nodes.get(from).running && nodes.get(to).running && !cutDirections.contains(new Direction(from, to));
    }

    /** Silently drops all messages from one daemon to another from now on. */
    void cutOneWay(Node from, Node to) {
        cutDirections.add(new Direction(from.address, to.address));
    }

    /** Cuts both directions between each daemon of one group and each daemon of the other. */
    void partition(List<Node> some, List<Node> others) {
        for (Node a : some) {
            for (Node b : others) {
                cutOneWay(a, b);
                cutOneWay(b, a);
            }
        }
    }

    void restoreAll() {
        cutDirections.clear();
    }

    /** Advances the clock in small steps and runs the pending work of every running daemon after each step. */
    void advance(Duration duration) {
        for (long remainingMillis = duration.toMillis(); remainingMillis > 0; remainingMillis -= STEP.toMillis()) {
            time.advance(STEP);
            nodes.values().stream().filter(n -> n.running).forEach(n -> n.spreader.processPending());
        }
    }

    /**
     * Returns the state of {@code subject} in the membership table of {@code observer}; GONE if it is unknown there.
     */
    static Member.State stateSeenBy(Node observer, Node subject) {
        return observer.table.view().find(subject.instance).map(Member::state).orElse(Member.State.GONE);
    }
}
