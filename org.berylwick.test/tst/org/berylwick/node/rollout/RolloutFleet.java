package org.berylwick.node.rollout;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.call.Backend;
import org.berylwick.node.call.CallSpec;
import org.berylwick.node.call.Owner;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.UnusableEntry;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.VmLink;

/**
 * A fleet in virtual time whose nodes take part in one roll-out: the nodes' own decisions, with requests that end as a
 * test says, gossip that loses datagrams, and a store that can be out.
 */
final class RolloutFleet {
    static final String SERVICE = "work";
    private static final long MILLIS = 1_000_000L;
    private static final long STEP_NANOS = 5 * MILLIS;
    private static final double DATAGRAM_LOSS = 0.02;
    private static final RequestClass CLASS = new RequestClass(RouteKind.IDEMPOTENT, 1, 600);
    private static final long USUAL_NANOS = 100 * MILLIS;

    /** How the responses of a version end. */
    record Behaviour(double failingShare, double slowShare, double slowFactor) {
        static final Behaviour GOOD = new Behaviour(0.001, 0, 1);
    }

    final VirtualClock clock = new VirtualClock();
    final StoredOrder store = new StoredOrder();
    private final Random random;
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final List<FleetNode> nodes = new ArrayList<>();
    private final long roundNanos;
    private Behaviour target = Behaviour.GOOD;
    long requests;
    long targetRequests;
    long targetBad;
    long oldAfterComplete;
    long fiftiethBadAt = Long.MAX_VALUE;
    long lastTargetRequestAt;

    RolloutFleet(long seed, int size) {
        random = new Random(seed);
        roundNanos = Math.max(500, Math.min(4_000, 25L * size)) * MILLIS;
        for (int i = 0; i < size; i++) {
            nodes.add(new FleetNode(i));
        }
        nodes.forEach(FleetNode::gossip);
    }

    /** The operator's order, which nodes see as the store has it. */
    final class StoredOrder implements RolloutOrders {
        private Optional<Order> order = Optional.empty();
        private long revision = 100;
        private boolean out;
        private List<UnusableEntry> unusable = List.of();
        private List<Order> others = List.of();
        private final List<RolloutPhase> told = new ArrayList<>();

        void give(double seconds) {
            revision++;
            unusable = List.of();
            order = Optional.of(new Order(SERVICE, "v2", (long) (seconds * 1e9), revision, revision, Optional.empty()));
        }

        void setOut(boolean isOut) {
            out = isOut;
        }

        /** Leaves an entry for a service that cannot be used, until the order is given. */
        void leaveUnusable(String service) {
            unusable = List.of(new UnusableEntry(service, "not an order"));
        }

        /** Leaves orders for services that have no backend server, listed before the order for this one. */
        void leaveOthers(int count) {
            others = IntStream.range(0, count)
                    .mapToObj(i -> new Order("other-" + i, "v1", 1_000_000_000L, 50 + i, 50 + i, Optional.empty()))
                    .toList();
        }

        List<RolloutPhase> told() {
            return told;
        }

        Optional<RolloutPhase> outcome() {
            return order.flatMap(Order::told).filter(RolloutPhase::isFinal);
        }

        @Override
        public void list(Consumer<ListResult> onResult) {
            clock.after(
                    4 * MILLIS,
                    () -> onResult.accept(
                            out
                                    ? new ListResult.Failed("out")
                                    : new ListResult.Listed(
                                            Stream.concat(others.stream(), order.stream())
                                                    .toList(),
                                            revision,
                                            unusable)));
        }

        @Override
        public void tell(Order read, RolloutPhase phase, Consumer<Boolean> onResult) {
            clock.after(4 * MILLIS, () -> {
                boolean current = !out
                        && order.filter(o -> o.revision() == read.revision()).isPresent();
                if (current) {
                    revision++;
                    told.add(phase);
                    order = Optional.of(new Order(
                            SERVICE, "v2", read.durationNanos(), read.createdRevision(), revision, Optional.of(phase)));
                }
                onResult.accept(current);
            });
        }
    }

    /** A node with a backend server beside it. */
    final class FleetNode {
        private final int number;
        private final MemberTable members = new MemberTable(ip -> null, (member, cause) -> {});
        private final Owner owner;
        private final RolloutController controller;
        private final RolloutVersionChoice choice;
        private String version = "v1";
        private boolean paused;
        private long sequence;

        FleetNode(int number) {
            this.number = number;
            Counters counters = new Counters();
            Instruments instruments = new Instruments(counters, log);
            owner = new Owner(
                    clock,
                    address -> null,
                    new HeaderNames("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"),
                    VmLink.of(1_000, clock),
                    1_500 * MILLIS,
                    counters,
                    log,
                    () -> {},
                    new Quarantine(clock::now, new HoldLog(instruments)),
                    Map::of);
            controller = new RolloutController(
                    clock, store, members, owner, () -> number < 8 && !paused, this::broadcastSoon, instruments);
            choice = new RolloutVersionChoice(controller, 0.1);
            clock.after(random.nextInt(250) * MILLIS, controller::start);
        }

        void startBackend(String softwareVersion) {
            version = softwareVersion;
            owner.onReport(new BackendReport(
                    Incarnation.of("i-" + number + "-" + softwareVersion),
                    SERVICE,
                    new InetSocketAddress("127.0.0.1", 1),
                    "z",
                    8,
                    BackendState.READY,
                    1,
                    0,
                    softwareVersion));
            controller.onBackendChange();
            broadcastSoon();
        }

        private void broadcastSoon() {
            clock.after(15 * MILLIS, this::broadcast);
            clock.after(55 * MILLIS, this::broadcast);
        }

        private void gossip() {
            broadcast();
            clock.after(roundNanos - roundNanos / 20 + random.nextInt(50) * MILLIS, this::gossip);
        }

        private void broadcast() {
            if (paused || owner.backend().isEmpty()) {
                return;
            }
            NodeState state = new NodeState(
                    number,
                    ++sequence,
                    "z",
                    1_000,
                    1,
                    true,
                    false,
                    SERVICE,
                    owner.backend().get().incarnation().text(),
                    BackendState.READY,
                    0,
                    new OwnerLoad(0, 0, 8, USUAL_NANOS, 0, 0, 0, 0, 0),
                    List.of(new ServiceTimeDistribution(CLASS, USUAL_NANOS, 0.4)),
                    controller.notice());
            for (FleetNode other : nodes) {
                if (other != this && random.nextDouble() >= DATAGRAM_LOSS) {
                    clock.after(MILLIS, () -> other.receive("10.0.0." + number, state));
                }
            }
        }

        private void receive(String ip, NodeState state) {
            if (paused) {
                return;
            }
            members.update(ip, state, clock.now());
            controller.onNotice(SERVICE, state.rollout());
        }

        /** Sends one request to a backend server of a version that this node may choose. */
        private void request() {
            boolean trial = choice.isActive(SERVICE) && choice.isTrial(SERVICE, random.nextDouble());
            List<FleetNode> candidates = candidates(trial);
            if (candidates.isEmpty() && trial) {
                candidates = candidates(false);
            }
            if (candidates.isEmpty()) {
                return;
            }
            candidates.get(random.nextInt(candidates.size())).run();
        }

        private List<FleetNode> candidates(boolean trial) {
            List<FleetNode> found = new ArrayList<>();
            for (FleetNode other : nodes) {
                boolean known =
                        other == this || members.find("10.0.0." + other.number).isPresent();
                String seen = other == this
                        ? version
                        : members.find("10.0.0." + other.number)
                                .map(m -> m.state().rollout().softwareVersion())
                                .orElse("");
                if (known
                        && (!choice.isActive(SERVICE)
                                || (trial ? choice.isInDoubt(SERVICE, seen) : choice.isEstablished(SERVICE, seen)))) {
                    found.add(other);
                }
            }
            return found;
        }

        /** Runs a request, unless the owner refuses it, as it knows better which versions get requests. */
        private void run() {
            Backend backend = owner.backend().orElseThrow();
            requests++;
            if (!controller.admits(backend)) {
                return;
            }
            boolean isTarget = version.equals("v2");
            if (!isTarget
                    && store.outcome().filter(o -> o == RolloutPhase.COMPLETE).isPresent()) {
                oldAfterComplete++;
            }
            Behaviour behaviour = isTarget ? target : Behaviour.GOOD;
            boolean failed = random.nextDouble() < behaviour.failingShare();
            boolean slow = random.nextDouble() < behaviour.slowShare();
            double nanos = USUAL_NANOS * Math.exp(0.4 * random.nextGaussian()) * (slow ? behaviour.slowFactor() : 1);
            if (isTarget) {
                targetRequests++;
                lastTargetRequestAt = clock.now();
                if (failed || slow) {
                    targetBad++;
                    if (targetBad == 50) {
                        fiftiethBadAt = clock.now();
                    }
                }
            }
            clock.after((long) nanos, () -> controller.onRunEnded(spec(), (long) nanos, failed));
        }
    }

    private CallSpec spec() {
        return new CallSpec(
                "id",
                HttpMethod.GET,
                "/x",
                EmptyHttpHeaders.INSTANCE,
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                SERVICE,
                "caller",
                CLASS,
                clock.now(),
                clock.now() + 2_000 * MILLIS,
                0,
                1,
                0,
                0,
                OrganisationTag.NONE);
    }

    FleetNode node(int number) {
        return nodes.get(number);
    }

    /** Starts backend servers of the old version on the first nodes. */
    void startOld(int count) {
        nodes.subList(0, count).forEach(node -> node.startBackend("v1"));
    }

    /** Starts backend servers of the new version on all other nodes, spread over a second. */
    void startNew(int from) {
        for (FleetNode node : nodes.subList(from, nodes.size())) {
            clock.after(random.nextInt(1_000) * MILLIS, () -> node.startBackend("v2"));
        }
    }

    void setTarget(Behaviour behaviour) {
        target = behaviour;
    }

    /** Stops and later resumes a node's process; requests that its backend server runs go on. */
    void pause(int number, boolean isPaused) {
        nodes.get(number).paused = isPaused;
    }

    /** Lets callers send requests at a steady rate for some time. */
    void run(double seconds, int perSecond) {
        long end = clock.now() + (long) (seconds * 1e9);
        double due = 0;
        while (clock.now() < end) {
            clock.runUntil(clock.now() + STEP_NANOS);
            due += perSecond * STEP_NANOS / 1e9;
            while (due >= 1) {
                due--;
                FleetNode entry = nodes.get(random.nextInt(nodes.size()));
                if (!entry.paused && entry.owner.backend().isPresent()) {
                    entry.request();
                }
            }
        }
    }
}
