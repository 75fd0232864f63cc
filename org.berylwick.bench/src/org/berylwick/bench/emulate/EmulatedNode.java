package org.berylwick.bench.emulate;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.berylwick.node.call.Attempt;
import org.berylwick.node.call.AttemptListener;
import org.berylwick.node.call.CallHandle;
import org.berylwick.node.call.CallSpec;
import org.berylwick.node.call.Candidate;
import org.berylwick.node.call.CandidateSampler;
import org.berylwick.node.call.EntryCallFactory;
import org.berylwick.node.call.HedgePolicy;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.RetryBudget;
import org.berylwick.node.call.VersionChoice;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.PlatformBounds;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.quota.RequestQuota;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.VmLink;

/** A node: entry and owner are the real ones, and hear of other nodes by gossip that is made here. */
final class EmulatedNode {
    private static final long GATHER_BYTES = 64L << 20;
    private static final long HEARTBEAT_NANOS = 1_500_000_000L;
    /** Between two rounds, for each node in the fleet, as nodes do it. */
    private static final long GOSSIP_NANOS_PER_NODE = 25_000_000L;

    private static final long SHORTEST_GOSSIP_NANOS = 500_000_000L;
    /** Delay of trials of a crashing request for each node, as nodes do it. */
    private static final long TRIAL_SPREAD_PER_NODE_NANOS = 400_000_000L;

    private static final double SILENT_ROUNDS = 3.5;
    private static final long WINDOW_NANOS = 10_000_000_000L;

    private final Emulation emulation;
    private final String ip;
    private final Deployment.Server place;
    private final MemberTable table;
    private final Owner owner;
    private final Quarantine quarantine;
    private final EmulatedServer server;
    private final EntryCallFactory entry;
    private final Counters counters = new Counters();
    private final VmLink link;
    private final EmulatedLink in;
    private final EmulatedLink out;
    private final long gossipNanos;
    private long sequence;
    private boolean away;
    private int incarnation = 1;

    EmulatedNode(Emulation emulation, int number, Deployment.Server place, Random random) {
        this.emulation = emulation;
        this.ip = "10.0.0." + number;
        this.place = place;
        this.link = VmLink.of(place.linkMbps(), emulation.clock());
        this.in = new EmulatedLink(place.linkMbps());
        this.out = new EmulatedLink(place.linkMbps());
        this.gossipNanos = Math.max(
                SHORTEST_GOSSIP_NANOS,
                GOSSIP_NANOS_PER_NODE * emulation.deployment().servers().size());
        this.table = new MemberTable(address -> null, (m, cause) -> {});
        this.quarantine =
                new Quarantine(emulation.clock()::now, new HoldLog(new Instruments(counters, emulation.log())));
        quarantine.setTrialSpread(
                () -> TRIAL_SPREAD_PER_NODE_NANOS * emulation.nodes().size(), random::nextDouble);
        quarantine.setReportListener(this::tellOthers);
        this.server = new EmulatedServer(emulation, this, place, random.nextLong());
        this.owner = new Owner(
                emulation.clock(),
                address -> server,
                Emulation.NAMES,
                link,
                HEARTBEAT_NANOS,
                counters,
                emulation.log(),
                this::tellAll,
                quarantine,
                () -> table.countByService(place.zone(), place.service()));
        Map<String, String> regions =
                emulation.deployment().zones().stream().collect(Collectors.toMap(Deployment.Zone::name, z -> "r"));
        long silentNanos = (long) (SILENT_ROUNDS * gossipNanos);
        CandidateSampler candidates = new CandidateSampler(
                place.zone(), "r", regions, table, () -> silentNanos, owner, VersionChoice.NONE, random::nextDouble);
        PlatformBounds bounds = new PlatformBounds(
                2_000_000_000L,
                6_000_000_000L,
                2_000_000_000L,
                emulation.deployment().retryRatio(),
                WINDOW_NANOS,
                emulation.deployment().retrySlack());
        RetryBudget budget =
                new RetryBudget(bounds, () -> emulation.deployment().servers().size(), () -> true, -2 * WINDOW_NANOS);
        this.entry = new EntryCallFactory(
                emulation.clock(),
                Emulation.NAMES,
                place::service,
                this::start,
                candidates,
                budget,
                HedgePolicy.of(emulation.hedgeShare()),
                quarantine,
                GATHER_BYTES,
                new Instruments(counters, emulation.log()),
                random::nextDouble);
        emulation.clock().after((long) (random.nextDouble() * gossipNanos), this::gossip);
    }

    String ip() {
        return ip;
    }

    Deployment.Server place() {
        return place;
    }

    Counters counters() {
        return counters;
    }

    EmulatedServer server() {
        return server;
    }

    EmulatedLink in() {
        return in;
    }

    EmulatedLink out() {
        return out;
    }

    VmLink link() {
        return link;
    }

    Owner owner() {
        return owner;
    }

    boolean isAway() {
        return away;
    }

    private String incarnation() {
        return "i-" + ip + "-" + incarnation;
    }

    /** The backend server has been started anew, as another incarnation. */
    void rejoin() {
        incarnation++;
        join();
    }

    /** The backend server announces itself. */
    void join() {
        owner.onReport(new BackendReport(
                incarnation(),
                place.service(),
                new InetSocketAddress("127.0.0.1", 1),
                place.zone(),
                place.slots(),
                BackendState.READY,
                ++sequence,
                0));
    }

    /** The backend server says that it leaves. */
    void leave() {
        away = true;
        owner.onLeave(incarnation(), () -> {});
    }

    private void gossip() {
        if (!away && !server.isDown()) {
            join();
        }
        tellAll();
        emulation.clock().after(gossipNanos, this::gossip);
    }

    private void tellAll() {
        NodeState state = new NodeState(
                1,
                ++sequence,
                place.zone(),
                (int) Math.max(1, Math.round(place.linkMbps())),
                1,
                true,
                false,
                place.service(),
                incarnation(),
                owner.backend().map(b -> b.state()).orElse(BackendState.ABSENT),
                0,
                owner.load(),
                owner.serviceTimes());
        for (EmulatedNode other : emulation.nodes()) {
            if (other != this) {
                emulation
                        .clock()
                        .after(
                                emulation.wayNanos(this, other),
                                () -> other.table.update(
                                        ip, state, emulation.clock().now()));
            }
        }
    }

    private void tellOthers(SuspectReport report) {
        for (EmulatedNode other : emulation.nodes()) {
            if (other != this) {
                emulation.clock().after(emulation.wayNanos(this, other), () -> other.quarantine.merge(report));
            }
        }
    }

    private Attempt start(Candidate candidate, CallSpec call, AttemptListener listener) {
        if (candidate.member().isEmpty()) {
            return owner.offer(call, listener);
        }
        EmulatedNode other = emulation.node(candidate.key());
        EmulatedAttempt attempt =
                new EmulatedAttempt(emulation, candidate.member().get(), this, other, listener);
        attempt.start(call, emulation.request(call.id()).kind());
        return attempt;
    }

    /**
     * Sends a request through this node's entry.
     *
     * @param id of it
     * @param kind of it
     * @param organisation that it belongs to
     * @param leftNanos that its sender waits
     * @param body of it, which may still be coming
     * @param sink hears the answer
     */
    CallHandle call(
            String id,
            RequestKind kind,
            OrganisationTag organisation,
            long leftNanos,
            RequestBody body,
            EmulatedSink sink) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(Emulation.NAMES.requestId(), id);
        headers.set(Emulation.NAMES.deadline(), leftNanos / 1_000_000);
        ConfigurationVersion version = emulation.version();
        EntryCallFactory.CallerRequest request = new EntryCallFactory.CallerRequest(
                HttpMethod.GET, emulation.request(id).path(), headers, body);
        CallHandle call = entry.create(
                version,
                new EntryCallFactory.Admission(
                        version.route(Emulation.HOST, request.uri()).orElseThrow(),
                        organisation,
                        RequestQuota.Permit.UNLIMITED),
                request,
                sink);
        call.start();
        return call;
    }

    /** Makes the call of a run; returns what ends it. */
    Runnable callInner(String kindName, long leftNanos, Consumer<Boolean> onAnswer) {
        RequestKind kind = emulation.kind(kindName);
        String id = emulation.draw(kind);
        long left = Math.min(leftNanos, kind.deadlineNanos());
        long madeAt = emulation.clock().now();
        EmulatedSink sink = new EmulatedSink((status, retryAfter, body) -> {
            body.release();
            emulation.forget(id);
            emulation.outcomes().onCall(kindName, emulation.clock().now() - madeAt);
            onAnswer.accept(status == 200);
        });
        Optional<CallHandle> call =
                Optional.of(call(id, kind, OrganisationTag.NONE, left, RequestBody.of(Unpooled.EMPTY_BUFFER), sink));
        return () -> {
            sink.close();
            call.ifPresent(CallHandle::abandon);
        };
    }
}
