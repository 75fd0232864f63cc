package org.berylwick.node.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.bench.quotas.QuotaNetwork;
import org.berylwick.bench.quotas.QuotaRun;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.log.NodeMetricNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what the limit grants over many nodes, without a network, while nodes and messages fail. */
class QuotaFailuresTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int NODES = 80;

    private static QuotaRun.Figures run(double load, QuotaRun.Demand demand, QuotaRun.Fault fault) {
        return new QuotaRun(QuotaRun.Way.PERMITS, new QuotaRun.Scenario(NODES, 400, 1, load, demand, fault), 7).run();
    }

    /** Guards against refusals below the limit, and against unused permits above it, wherever requests arrive. */
    @ParameterizedTest
    @EnumSource(QuotaRun.Demand.class)
    void limitIsServedWhereverDemandArises(QuotaRun.Demand demand) {
        assertEquals(0, run(0.9, demand, QuotaRun.Fault.NONE).refused());
        assertTrue(run(2, demand, QuotaRun.Fault.NONE).served() >= 0.99);
    }

    /** Guards against permits that are lost between nodes at loads around the limit and far beyond. */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2, 6})
    void limitIsServedAtEachLoad(double load) {
        QuotaRun.Figures figures = run(load, QuotaRun.Demand.EVEN, QuotaRun.Fault.NONE);
        assertTrue(figures.served() >= Math.min(1, load) - 0.01, figures.toString());
        assertTrue(figures.excess() <= 0.01, figures.toString());
    }

    /** Guards against a second limit that is granted because of a failure. */
    @ParameterizedTest
    @EnumSource(QuotaRun.Fault.class)
    void noWindowExceedsLimitDuringFailure(QuotaRun.Fault fault) {
        for (QuotaRun.Demand demand : QuotaRun.Demand.values()) {
            QuotaRun.Figures figures = run(2, demand, fault);
            assertTrue(figures.margin() >= 0, demand + " " + figures);
            assertTrue(figures.served() >= 0.9, demand + " " + figures);
        }
    }

    /** Guards against an organisation with a small limit that never gets a permit, as with even shares. */
    @ParameterizedTest
    @EnumSource(QuotaRun.Fault.class)
    void smallLimitIsServed(QuotaRun.Fault fault) {
        QuotaRun.Scenario scenario = new QuotaRun.Scenario(NODES, 4, 1, 2, QuotaRun.Demand.EVEN, fault);
        QuotaRun.Figures figures = new QuotaRun(QuotaRun.Way.PERMITS, scenario, 7).run();
        assertTrue(figures.margin() >= 0 && figures.served() >= 0.9, figures.toString());
    }

    private final VirtualClock clock = new VirtualClock();
    private final List<Long> retryTimes = new ArrayList<>();
    private int granted;

    private QuotaNetwork network(double rate, double burst) {
        Organisation organisation = new Organisation("acme", OrganisationTag.NO_PRIORITY, rate, burst);
        return new QuotaNetwork(clock, NODES, 0, organisation, 7);
    }

    private void request(QuotaNetwork network, int node) {
        network.quota(node).acquire(network.organisation(), decision -> {
            switch (decision) {
                case RequestQuota.Decision.Granted ignored -> granted++;
                case RequestQuota.Decision.Refused refused -> retryTimes.add(clock.now() + refused.retryAfterNanos());
            }
        });
    }

    /** Guards against callers that return when they were told to, only to be refused again, or all at once. */
    @Test
    void callersThatReturnAtTheirTimeAreServed() {
        QuotaNetwork network = network(400, 40);
        for (int i = 0; i < 2 * NODES; i++) {
            int node = i % NODES;
            clock.schedule(8 * SECOND + i * SECOND / NODES, () -> request(network, node));
        }
        clock.runUntil(10 * SECOND);
        assertEquals(2 * NODES, granted);
        for (int i = 0; i < 400; i++) {
            int node = i % NODES;
            clock.schedule(10 * SECOND + i * SECOND / 40_000, () -> request(network, node));
        }
        clock.runUntil(10 * SECOND + SECOND / 50);
        List<Long> returns = retryTimes.stream().sorted().toList();
        long spreadNanos = returns.get(returns.size() - 1) - returns.get(0);
        granted = 0;
        for (int i = 0; i < returns.size(); i++) {
            int node = i * 7 % NODES;
            clock.schedule(returns.get(i), () -> request(network, node));
        }
        clock.runUntil(30 * SECOND);
        assertTrue(returns.size() > 200 && spreadNanos > SECOND / 2, returns.size() + " in ns " + spreadNanos);
        assertTrue(granted >= 0.9 * returns.size(), granted + " of " + returns.size() + " in ns " + spreadNanos);
    }

    /** Guards against a node that waits, or grants without bound, when no quota server answers. */
    @Test
    void separatedNodeUsesItsFallbackShare() {
        QuotaNetwork network = network(4_000, 4_000);
        clock.runUntil(10 * SECOND);
        network.separate(Set.of(NODES - 1));
        for (int i = 0; i < 1_000; i++) {
            clock.schedule(10 * SECOND + i * SECOND / 100, () -> request(network, NODES - 1));
        }
        clock.runUntil(20 * SECOND + SECOND / 2);
        assertEquals(1_000, granted + retryTimes.size());
        // 0.1 of 4,000 requests/s divided by 80 nodes, for 10 s.
        assertTrue(granted > 40 && granted <= 51, "granted " + granted);
        assertEquals(granted, network.counters().count(NodeMetricNames.QUOTA_FALLBACK_USED));
    }

    /** Guards against a quota server in each half, once the halves have forgotten the readers of the other. */
    @Test
    void separatedHalvesGrantNoMoreThanFallbackShares() {
        QuotaNetwork network = network(400, 40);
        clock.runUntil(10 * SECOND);
        Set<Integer> half = new HashSet<>();
        for (int i = 0; i < NODES; i += 2) {
            half.add(i);
        }
        network.separate(half);
        clock.runUntil(20 * SECOND);
        for (int i = 0; i < 16_000; i++) {
            int node = i % NODES;
            clock.schedule(20 * SECOND + i * SECOND / 800, () -> request(network, node));
        }
        clock.runUntil(41 * SECOND);
        assertTrue(granted > 700 && granted <= 20 * 40, "granted " + granted);
    }

    /** Guards against the permit of a request that did not run being lost. */
    @Test
    void releasedPermitIsGrantedAgain() {
        QuotaNetwork network = network(4, 4);
        clock.runUntil(20 * SECOND);
        for (int i = 0; i < 100; i++) {
            int node = i % NODES;
            network.quota(node).acquire(network.organisation(), decision -> {
                if (decision instanceof RequestQuota.Decision.Granted permit) {
                    granted++;
                    permit.permit().release();
                }
            });
            clock.runUntil(clock.now() + SECOND / 2);
        }
        assertEquals(100, granted);
    }

    /** Guards against messages for an organisation that has no limit. */
    @Test
    void organisationWithoutLimitNeedsNoMessage() {
        QuotaNetwork network = network(4, 4);
        clock.runUntil(5 * SECOND);
        Optional<Long> asks = Optional.ofNullable(network.messages().get("Ask"));
        Organisation unlimited = new Organisation("other", OrganisationTag.NO_PRIORITY, 0, 0);
        network.quota(9).acquire(unlimited, decision -> granted++);
        assertEquals(1, granted);
        clock.runUntil(6 * SECOND);
        assertEquals(asks, Optional.ofNullable(network.messages().get("Ask")));
    }
}
