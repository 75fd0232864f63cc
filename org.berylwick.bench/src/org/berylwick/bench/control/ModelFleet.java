package org.berylwick.bench.control;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.spread.LocalMember;
import org.berylwick.internal.spread.SpreadEvent;
import org.berylwick.internal.spread.SpreadMetrics;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.internal.spread.Spreader;
import org.berylwick.internal.spread.StoreFreshness;
import org.berylwick.internal.spread.VersionDeltaDecoder;
import org.berylwick.internal.spread.VersionDeltaEncoder;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.ProbeReply;
import org.berylwick.transport.PeerCalls;
import org.berylwick.transport.PeerStream;

/**
 * The daemons' own spreading code over streams in memory, on one thread and one clock, with the bytes counted.
 *
 * <p>A message takes one step of the clock, which stands for the way between two daemons. Fetching and installing a
 * version takes a time that is given. Nothing else takes any time, so this tells messages, bytes and the number of
 * steps, and says nothing of processor time.
 */
final class ModelFleet {
    static final long STEP_MILLIS = 2;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int RING_CAPACITY = 16_384;
    /** HTTP/2 frame header and gRPC length prefix. */
    private static final int FRAME_BYTES = 14;
    /** Headers of both directions of one unary call over a connection that has made such calls before. */
    private static final int CALL_BYTES = 120;

    private final Clock clock = new Clock();
    private final Map<HostPort, Node> nodes = new LinkedHashMap<>();
    private final SpreadTuning tuning;
    private final long installMillis;
    private long bytes;

    private static final class Clock implements TimeSource {
        private long nanos;

        @Override
        public long nanoTime() {
            return nanos;
        }

        @Override
        public long epochMillis() {
            return nanos / NANOS_PER_MILLI;
        }
    }

    /** One daemon. */
    final class Node implements LocalMember, PeerCalls {
        private final InstalledVersion installed = new InstalledVersion(clock);
        private final MembershipTable table = new MembershipTable();
        private final VersionDeltaEncoder versions = new VersionDeltaEncoder(installed);
        private final Deque<SpreadEvent> inbox = new ArrayDeque<>();
        private final String instance;
        private final Place place;
        private final HostPort address;
        private final Spreader spreader;
        private Optional<Fetch> fetch = Optional.empty();
        private long incarnation = 1;

        private record Fetch(HostPort from, Deadline done) {}

        private Node(int i, int zones) {
            instance = "daemon-%03d".formatted(i);
            int zone = i % zones;
            place = new Place("region-" + zone / 2, "zone-" + zone);
            address = new HostPort("10.0." + i / 250 + "." + i % 250, 8081);
            spreader = new Spreader(
                    new Spreader.Dependencies(
                            tuning,
                            this,
                            table,
                            installed,
                            new StoreFreshness(clock),
                            this::offered,
                            this,
                            new Ring<>(RING_CAPACITY),
                            new SpreadMetrics(new MetricRegistry())),
                    clock,
                    new Random(i));
        }

        @Override
        public Member current() {
            return new Member(
                    instance,
                    "service",
                    address,
                    place,
                    Labels.EMPTY,
                    Member.State.UP,
                    incarnation,
                    12,
                    installed.snapshot().id().number(),
                    installed.inForce().sinceEpochMillis());
        }

        @Override
        public void refute(long higher) {
            incarnation = higher;
        }

        private void offered(HostPort from, long number) {
            if (fetch.isEmpty() && number > installed.snapshot().id().number()) {
                fetch = Optional.of(new Fetch(from, Deadline.afterMillis(clock, installMillis)));
            }
        }

        private void work() {
            while (!inbox.isEmpty()) {
                spreader.submit(inbox.poll());
            }
            if (fetch.filter(f -> f.done().isPast(clock)).isPresent()) {
                take(fetch.get().from());
                fetch = Optional.empty();
            }
            spreader.processPending();
        }

        private void take(HostPort from) {
            byte[] gzip = nodes.get(from)
                    .versions
                    .encode(installed.snapshot().id().number())
                    .orElseThrow();
            bytes += gzip.length + FRAME_BYTES + CALL_BYTES;
            if (VersionDeltaDecoder.decode(gzip, installed.inForce())
                    instanceof Result.Ok<VersionContent, String>(VersionContent content)) {
                installed.install(content);
            }
        }

        @Override
        public PeerStream open(HostPort to, PeerStream.Listener listener) {
            End here = new End(this);
            End there = new End(nodes.get(to));
            here.other = there;
            there.other = here;
            bytes += CALL_BYTES;
            return here;
        }

        @Override
        public CompletableFuture<Optional<ProbeReply>> probe(HostPort to, Deadline deadline) {
            bytes += CALL_BYTES + 2L * FRAME_BYTES;
            ProbeReply reply =
                    ProbeReply.newBuilder().setInstance(nodes.get(to).instance).build();
            return CompletableFuture.completedFuture(Optional.of(reply));
        }

        @Override
        public CompletableFuture<Optional<ProbeReply>> probeThrough(HostPort via, HostPort target, Deadline deadline) {
            bytes += CALL_BYTES + 2L * FRAME_BYTES;
            return nodes.get(via).probe(target, deadline);
        }
    }

    private final class End implements PeerStream {
        private final Node owner;
        private End other;
        private boolean ended;

        private End(Node owner) {
            this.owner = owner;
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public void send(PeerMessage message) {
            if (!ended) {
                bytes += message.getSerializedSize() + FRAME_BYTES;
                other.owner.inbox.add(new SpreadEvent.MessageReceived(other, message));
            }
        }

        @Override
        public void close() {
            if (!ended) {
                ended = true;
                other.ended = true;
                other.owner.inbox.add(new SpreadEvent.StreamClosed(other, "closed by the peer"));
            }
        }
    }

    /** Daemons that know the first one's address. */
    ModelFleet(int daemons, int zones, SpreadTuning tuning, long installMillis) {
        this.tuning = tuning;
        this.installMillis = installMillis;
        for (int i = 0; i < daemons; i++) {
            Node node = new Node(i, zones);
            nodes.put(node.address, node);
        }
        List<HostPort> seeds = List.copyOf(nodes.keySet()).subList(0, Math.min(daemons, zones * 2));
        nodes.values().forEach(n -> n.spreader.submit(new SpreadEvent.PeersDiscovered(seeds)));
    }

    /** Lets time pass. */
    void pass(long millis) {
        for (long left = millis; left > 0; left -= STEP_MILLIS) {
            clock.nanos += STEP_MILLIS * NANOS_PER_MILLI;
            nodes.values().forEach(Node::work);
        }
    }

    /** Installs a version at some daemons, as readers of the store do; tells how long each other one took. */
    List<Long> spread(VersionContent content, List<Integer> readers, long withinMillis) {
        List<Node> all = new ArrayList<>(nodes.values());
        readers.forEach(r -> all.get(r).installed.install(content));
        long from = clock.epochMillis();
        pass(withinMillis);
        return all.stream()
                .filter(n -> n.installed.snapshot().id().equals(content.id()))
                .map(n -> n.installed.inForce().sinceEpochMillis() - from)
                .toList();
    }

    /** The least number of members that any daemon knows as up. */
    long fewestKnown() {
        OptionalLong fewest = nodes.values().stream()
                .mapToLong(n -> n.table.view().all().stream()
                        .filter(m -> m.state() == Member.State.UP)
                        .count())
                .min();
        return fewest.orElse(0);
    }

    /** Has a daemon announce itself anew, as after a replacement. */
    void renew(int i) {
        new ArrayList<>(nodes.values()).get(i).incarnation++;
    }

    /** Bytes sent by all daemons since the last call. */
    long takeBytes() {
        long taken = bytes;
        bytes = 0;
        return taken;
    }
}
