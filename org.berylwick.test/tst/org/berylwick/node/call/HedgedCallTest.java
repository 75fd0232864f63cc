package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.PlatformBounds;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.api.Test;

/** Tests what becomes of a call that is hedged, with attempts that the tests end as they like. */
class HedgedCallTest {
    private static final long MS = 1_000_000L;
    private static final int NODES = 4;
    private static final EventLog LOG = new EventLog("test", OutputStream.nullOutputStream());

    private static final class FakeAttempt implements Attempt {
        private final AttemptListener listener;
        private boolean cancelled;
        private boolean ended;
        private boolean refused;

        FakeAttempt(AttemptListener listener) {
            this.listener = listener;
        }

        boolean isRunning() {
            return !cancelled && !ended;
        }

        void respond(int status) {
            ended = true;
            listener.onHead(status, Headers.empty(), OwnerLoad.NONE);
            listener.onEnd();
        }

        void refuse() {
            ended = true;
            refused = true;
            listener.onRefused(new Refusal(Refusal.Reason.BUSY, false, OwnerLoad.NONE));
        }

        void lose() {
            ended = true;
            listener.onLost(Loss.of("test"));
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void setAutoRead(boolean autoRead) {}
    }

    /** One entry, all of whose attempts are fakes. */
    private static final class Rig implements ResponseSink {
        private final VirtualClock time = new VirtualClock();
        private final Counters counters = new Counters();
        private final List<FakeAttempt> attempts = new ArrayList<>();
        private final List<Integer> statuses = new ArrayList<>();
        private final Quarantine quarantine =
                new Quarantine(time::now, new HoldLog(new Instruments(new Counters(), LOG)));
        private final RetryBudget retryBudget =
                new RetryBudget(new PlatformBounds(0, 0, 0, 0.2, 10_000 * MS, 10), () -> 1, () -> true, -20_000 * MS);
        private final Route route;
        private final List<Candidate> candidates = new ArrayList<>();
        private final EntryCallFactory factory;
        private int timers;

        Rig(RouteKind kind, double share) {
            route = new Route("r", "/", kind, 2_000 * MS, 600 * MS, 2, 1, List.of(new WeightedService("work", 1)));
            ServiceTimeDistribution serviceTime = new ServiceTimeDistribution(RequestClass.of(route), 100 * MS, 0.4);
            addCandidates(List.of(serviceTime));
            Optional<HedgePolicy> policy = HedgePolicy.of(share);
            policy.ifPresent(p -> learn(p, candidates.get(0)));
            factory = new EntryCallFactory(
                    countingClock(),
                    OwnerRig.HEADER_NAMES,
                    () -> "caller",
                    (candidate, call, listener) -> {
                        attempts.add(new FakeAttempt(listener));
                        return attempts.get(attempts.size() - 1);
                    },
                    (service, excluded, now) -> candidates.stream()
                            .filter(c -> !excluded.contains(c.key()))
                            .toList(),
                    retryBudget,
                    policy,
                    quarantine,
                    1 << 20,
                    new Instruments(counters, LOG),
                    () -> 0.5);
        }

        private void addCandidates(List<ServiceTimeDistribution> times) {
            OwnerLoad load = new OwnerLoad(0, 0, 8, 100 * MS);
            MemberTable table = new MemberTable(address -> null, (m, cause) -> {});
            for (int i = 0; i < NODES; i++) {
                table.update(
                        "10.0.0." + i,
                        new NodeState(
                                1,
                                1,
                                "z",
                                100,
                                1,
                                true,
                                false,
                                "work",
                                "i-" + i,
                                org.berylwick.node.lib.BackendState.READY,
                                0,
                                load,
                                times),
                        0);
            }
            table.acceptingRequests("work")
                    .forEach(m -> candidates.add(new Candidate(
                            Optional.of(m),
                            load,
                            times,
                            0,
                            0,
                            0,
                            LinkLoad.NONE,
                            Candidate.Distance.SAME_ZONE,
                            false,
                            false)));
        }

        /** Gives the policy requests to take a share of, and late attempts that were stuck. */
        private void learn(HedgePolicy policy, Candidate candidate) {
            for (int i = 0; i < 50; i++) {
                policy.onRequest("work", 0);
            }
            HedgePolicy.DueAttempt due =
                    new HedgePolicy.DueAttempt("work", RequestClass.of(route), 0, 2_000 * MS, candidate);
            for (int i = 0; i < 10; i++) {
                policy.onLateAttemptEnded(due, 400 * MS, true);
            }
        }

        private Clock countingClock() {
            return new Clock() {
                @Override
                public long now() {
                    return time.now();
                }

                @Override
                public Timer schedule(long at, Runnable task) {
                    timers++;
                    return time.schedule(at, task);
                }

                @Override
                public void defer(Runnable task) {
                    time.defer(task);
                }
            };
        }

        CallHandle call() {
            ConfigurationVersion version = new ConfigurationVersion.Builder(1, new byte[0]).build();
            EntryCallFactory.CallerRequest request = new EntryCallFactory.CallerRequest(
                    HttpMethod.GET, "/x", Headers.empty(), RequestBody.of(Unpooled.EMPTY_BUFFER));
            CallHandle call =
                    factory.create(version, EntryCallFactory.Admission.withoutOrganisation(route), request, this);
            call.start();
            return call;
        }

        /** Starts a call and lets time pass until it is hedged. */
        Rig hedged() {
            call();
            time.runUntil(400 * MS);
            assertEquals(2, attempts.size(), "attempts");
            return this;
        }

        void assertCounts(int sent, int won, int notRun, int wasted) {
            assertEquals(
                    List.of((long) sent, (long) won, (long) notRun, (long) wasted),
                    List.of(
                            counters.count(NodeMetricNames.HEDGE_SENT),
                            counters.count(NodeMetricNames.HEDGE_WON),
                            counters.count(NodeMetricNames.HEDGE_NOT_RUN),
                            counters.count(NodeMetricNames.HEDGE_WASTED)),
                    "sent, won, not run, wasted");
        }

        @Override
        public void respond(int status, HttpHeaders headers, ByteBuf body) {
            statuses.add(status);
            body.release();
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {}

        @Override
        public boolean writePart(ByteBuf part) {
            return true;
        }

        @Override
        public void endStream() {}

        @Override
        public void abortStream() {}
    }

    /** Guards against cost for installations that do not use hedging: one timer, for the deadline. */
    @Test
    void offMeansNoFurtherTimer() {
        Rig rig = new Rig(RouteKind.IDEMPOTENT, 0);
        rig.call();
        rig.time.runUntil(1_500 * MS);
        assertEquals(1, rig.timers);
        assertEquals(1, rig.attempts.size());
    }

    @Test
    void firstResponseWinsAndOtherAttemptIsCancelled() {
        Rig hedgeWins = new Rig(RouteKind.IDEMPOTENT, 0.2).hedged();
        hedgeWins.attempts.get(1).respond(200);
        assertTrue(hedgeWins.attempts.get(0).cancelled);
        assertEquals(List.of(200), hedgeWins.statuses);
        hedgeWins.assertCounts(1, 1, 0, 0);

        Rig firstWins = new Rig(RouteKind.BULK, 0.2).hedged();
        firstWins.attempts.get(0).respond(200);
        assertTrue(firstWins.attempts.get(1).cancelled);
        assertEquals(List.of(200), firstWins.statuses);
        firstWins.assertCounts(1, 0, 0, 1);
    }

    /** Guards against a failure of the hedge that ends or replaces the first attempt. */
    @Test
    void firstAttemptGoesOnWhenHedgeFails() {
        Rig lost = new Rig(RouteKind.IDEMPOTENT, 0.2).hedged();
        lost.attempts.get(1).lose();
        Rig failed = new Rig(RouteKind.IDEMPOTENT, 0.2).hedged();
        failed.attempts.get(1).respond(500);
        for (Rig rig : List.of(lost, failed)) {
            rig.time.runUntil(1_000 * MS);
            assertEquals(2, rig.attempts.size(), "attempts within the route's limit");
            assertTrue(rig.attempts.get(0).isRunning());
            rig.attempts.get(0).respond(200);
            assertEquals(List.of(200), rig.statuses);
            rig.assertCounts(1, 0, 0, 1);
        }
    }

    /** Guards against a refused hedge that uses up retries, or the node and the attempt of a retry after a loss. */
    @Test
    void refusedHedgeChangesNothing() {
        Rig rig = new Rig(RouteKind.IDEMPOTENT, 0.2).hedged();
        int left = retriesLeft(new Rig(RouteKind.IDEMPOTENT, 0));
        rig.attempts.get(1).refuse();
        assertTrue(rig.attempts.get(0).isRunning());
        rig.assertCounts(1, 0, 1, 0);
        rig.attempts.get(0).lose();
        assertEquals(3, rig.attempts.size(), "the retry");
        rig.attempts.get(2).respond(200);
        assertEquals(List.of(200), rig.statuses);
        assertEquals(left - 1, retriesLeft(rig));
    }

    private static int retriesLeft(Rig rig) {
        if (rig.attempts.isEmpty()) {
            rig.call();
        }
        int count = 0;
        while (rig.retryBudget.tryAcquire("work", rig.time.now())) {
            count++;
        }
        return count;
    }

    /** Guards against hedges beyond the retry budget. */
    @Test
    void needsRetryBudget() {
        Rig rig = new Rig(RouteKind.IDEMPOTENT, 0.2);
        assertTrue(retriesLeft(rig) > 0);
        rig.time.runUntil(1_000 * MS);
        assertEquals(1, rig.attempts.size());
        rig.assertCounts(0, 0, 0, 0);
    }

    /** Guards against a second server crashed by a request that is suspected of that. */
    @Test
    void suspectedRequestIsNotHedged() {
        Rig rig = new Rig(RouteKind.IDEMPOTENT, 0.2);
        rig.call();
        rig.quarantine.onCrashed(
                org.berylwick.node.lib.RequestFingerprint.of("GET", "", "/x", Unpooled.EMPTY_BUFFER), "i-9", 0);
        rig.time.runUntil(1_000 * MS);
        assertEquals(1, rig.attempts.size());
    }

    /** Guards against a non-idempotent request at two backend servers, whatever happens to its attempts. */
    @Property(tries = 300)
    void nonIdempotentRequestIsNeverSentTwice(@ForAll long seed) {
        Rig rig = playRandomly(RouteKind.NON_IDEMPOTENT, seed);
        assertTrue(rig.attempts.stream().filter(a -> !a.refused).count() <= 1);
        rig.assertCounts(0, 0, 0, 0);
    }

    /** Guards against runs beyond the route's limit, more than one response, and hedges that are not accounted for. */
    @Property(tries = 300)
    void repeatableRequestKeepsToRouteLimit(@ForAll long seed) {
        Rig rig = playRandomly(RouteKind.IDEMPOTENT, seed);
        assertTrue(rig.attempts.stream().filter(a -> !a.refused).count() <= 2);
        assertEquals(1, rig.statuses.size(), "responses");
        assertFalse(rig.attempts.stream().anyMatch(FakeAttempt::isRunning), "an attempt was left running");
        assertEquals(
                rig.counters.count(NodeMetricNames.HEDGE_SENT),
                rig.counters.count(NodeMetricNames.HEDGE_WON)
                        + rig.counters.count(NodeMetricNames.HEDGE_NOT_RUN)
                        + rig.counters.count(NodeMetricNames.HEDGE_WASTED));
    }

    private static Rig playRandomly(RouteKind kind, long seed) {
        Random random = new Random(seed);
        Rig rig = new Rig(kind, 0.2);
        rig.call();
        while (rig.time.now() < 2_500 * MS) {
            rig.time.runUntil(rig.time.now() + random.nextInt(300) * MS);
            List<FakeAttempt> running =
                    rig.attempts.stream().filter(FakeAttempt::isRunning).toList();
            if (running.isEmpty()) {
                continue;
            }
            FakeAttempt attempt = running.get(random.nextInt(running.size()));
            switch (random.nextInt(8)) {
                case 0 -> attempt.respond(200);
                case 1 -> attempt.respond(500);
                case 2 -> attempt.refuse();
                case 3 -> attempt.lose();
                case 4 -> attempt.listener.onNodeSilent();
                default -> {
                    // Time passes.
                }
            }
        }
        return rig;
    }
}
