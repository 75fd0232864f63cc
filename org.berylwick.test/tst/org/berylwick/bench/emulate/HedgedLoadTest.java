package org.berylwick.bench.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.node.log.NodeMetricNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What hedged requests do for callers of a service with one slow backend server, of whose runs one in fifty is delayed
 * by other work on its VM. In virtual time. That no non-idempotent request runs twice is checked by the emulation.
 */
class HedgedLoadTest {
    private static final double SHARE = 0.05;
    /** Requests per second that nine backend servers can run, with the delays. */
    private static final double CAPACITY = 1_107;

    private static final double DELAYED_SHARE = 0.02;
    private static final double DELAY_FACTOR = 8;
    private static final double WARM_UP_SECONDS = 5;
    private static final double SECONDS = 30;

    private static Deployment deployment(double load) {
        List<Deployment.Zone> zones = new ArrayList<>();
        List<Deployment.Server> servers = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            zones.add(new Deployment.Zone(zone, 1.0 / 3));
            for (int i = 0; i < 3; i++) {
                servers.add(new Deployment.Server(zone, "desk", 9, servers.isEmpty() ? 2.4 : 1));
            }
        }
        RequestKind.Work work = new RequestKind.Work(60, 0.3, 0, 1);
        RequestKind.Millis millis = new RequestKind.Millis(260, 1_500);
        return new Deployment(
                zones,
                servers,
                List.of(
                        RequestKind.read("lookup", "desk", 0.8 * load * CAPACITY, work, millis),
                        RequestKind.order("order", "desk", 0.2 * load * CAPACITY, work, millis)),
                0.9,
                1,
                0.2,
                10);
    }

    private static Emulation play(double load, long seed, double share) {
        Emulation e = new Emulation(deployment(load), seed, share);
        e.disturb("desk", DELAYED_SHARE, DELAY_FACTOR);
        e.run(WARM_UP_SECONDS);
        e.outcomes().startAnswers();
        e.run(SECONDS);
        return e;
    }

    private static long asked(Emulation e) {
        return e.outcomes().of("lookup").asked() + e.outcomes().of("order").asked();
    }

    /** Guards against hedges that come too late, go to the wrong node or are not sent, and against too many of them. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.7})
    void tailOfResponseTimesFallsByAThird(double load) {
        double p99 = 0;
        double hedgedP99 = 0;
        double p999 = 0;
        double hedgedP999 = 0;
        for (long seed = 1; seed <= 3; seed++) {
            try (Emulation plain = play(load, seed, 0);
                    Emulation hedged = play(load, seed, SHARE)) {
                p99 += plain.outcomes().answerMillis("lookup", 99);
                p999 += plain.outcomes().answerMillis("lookup", 99.9);
                hedgedP99 += hedged.outcomes().answerMillis("lookup", 99);
                hedgedP999 += hedged.outcomes().answerMillis("lookup", 99.9);
                long sent = hedged.count(NodeMetricNames.HEDGE_SENT);
                assertTrue(sent <= SHARE * asked(hedged), sent + " hedges");
                assertEquals(0, plain.count(NodeMetricNames.HEDGE_SENT));
            }
        }
        assertTrue(hedgedP99 <= p99 * 2 / 3, "p99 " + p99 / 3 + ", hedged " + hedgedP99 / 3);
        assertTrue(hedgedP999 <= p999 * 2 / 3, "p99.9 " + p999 / 3 + ", hedged " + hedgedP999 / 3);
    }

    /** Guards against extra work that displaces requests when a service has no capacity to spare. */
    @ParameterizedTest
    @ValueSource(doubles = {1.0, 1.3, 2.0})
    void costsNoGoodputWithoutCapacity(double load) {
        double worth = 0;
        double hedgedWorth = 0;
        for (long seed = 1; seed <= 3; seed++) {
            try (Emulation plain = play(load, seed, 0);
                    Emulation hedged = play(load, seed, SHARE)) {
                worth += plain.outcomes().worth() / 3;
                hedgedWorth += hedged.outcomes().worth() / 3;
            }
        }
        assertTrue(hedgedWorth >= worth - 0.01, "worth " + worth + ", hedged " + hedgedWorth);
    }

    /** Guards against a wave of extra requests when all backend servers become slow at the same time. */
    @Test
    void shareHoldsWhenAllServersBecomeSlow() {
        try (Emulation e = play(0.5, 1, SHARE)) {
            List<Long> sent = new ArrayList<>();
            List<Long> asked = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                if (i == 10) {
                    e.slow("desk", 9, 4);
                }
                e.run(0.5);
                sent.add(e.count(NodeMetricNames.HEDGE_SENT));
                asked.add(asked(e));
            }
            for (int i = 20; i < sent.size(); i++) {
                long sentInWindow = sent.get(i) - sent.get(i - 20);
                double allowed = SHARE * (asked.get(i) - asked.get(i - 20));
                assertTrue(sentInWindow <= allowed, sentInWindow + " hedges, allowed " + allowed);
            }
        }
    }
}
