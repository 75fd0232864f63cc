package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;

/** Rolls out versions on nodes that forward requests. */
class RolloutNodesTest {
    private static final int SLOTS = 20;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger oldArrivals = new AtomicInteger();

    private void respondGood(RawServer.Connection connection, RawServer.Request request) throws IOException {
        arrivals.incrementAndGet();
        NodeRig.respondOk(connection, request);
    }

    private void respondOld(RawServer.Connection connection, RawServer.Request request) throws IOException {
        oldArrivals.incrementAndGet();
        NodeRig.respondOk(connection, request);
    }

    private void respondBad(RawServer.Connection connection, RawServer.Request request) throws IOException {
        arrivals.incrementAndGet();
        connection.write("HTTP/1.1 500 Internal Server Error\r\nx-request-id: " + request.id()
                + "\r\nx-signature: s\r\nContent-Length: 0\r\n\r\n");
    }

    /** Starts an entry node, two nodes with the old version, and one or two with the new one. */
    private void startFleet(NodeRig rig, RawServer old, RawServer target) {
        rig.configuration.publish(NodeRig.version(1));
        rig.start(1, Optional.empty());
        rig.awaitReady(1);
        for (int number = 2; number <= 4; number++) {
            RawServer backend = number < 4 ? old : target;
            rig.startWithoutReport(number, backend);
            rig.reportVersion(number, backend, number < 4 ? "v1" : "v2", number < 4 ? SLOTS : 2 * SLOTS);
            rig.awaitReady(number);
            rig.awaitMemberKnown("i-" + number + "-" + (number < 4 ? "v1" : "v2"));
        }
    }

    private static void call(NodeRig rig, int requests) {
        for (int i = 0; i < requests; i++) {
            rig.call(1, "POST", "/pay/x", "r-" + i, "body");
        }
    }

    /** Guards against a new version that fails getting its share by its slots, from its announcement on. */
    @Test
    void failingVersionGetsFewRequestsAndIsRolledBack() throws IOException {
        try (RawServer old = new RawServer(this::respondOld);
                RawServer target = new RawServer(this::respondBad);
                NodeRig rig = new NodeRig()) {
            InMemoryRolloutOrders orders = rig.withRollouts();
            orders.give("work", "v2", 60);
            startFleet(rig, old, target);
            int sent = 0;
            while (!orders.told().contains(RolloutPhase.ROLLED_BACK) && sent < 3_000) {
                call(rig, 20);
                sent += 20;
            }
            assertEquals(List.of(RolloutPhase.TRIAL, RolloutPhase.ROLLED_BACK), orders.told(), rig.logText());
            assertTrue(arrivals.get() <= 0.1 * sent + 10, arrivals + " of " + sent + " requests at the bad version");
            int before = arrivals.get();
            call(rig, 200);
            assertEquals(before, arrivals.get(), "requests at a version that is rolled back");
        }
    }

    /** Guards against a good version staying in doubt, and against requests at old servers when it is complete. */
    @Test
    void goodVersionTakesOverAllRequests() throws IOException {
        try (RawServer old = new RawServer(this::respondOld);
                RawServer target = new RawServer(this::respondGood);
                NodeRig rig = new NodeRig()) {
            InMemoryRolloutOrders orders = rig.withRollouts();
            orders.give("work", "v2", 6);
            startFleet(rig, old, target);
            Await.until(
                    "completion",
                    () -> {
                        call(rig, 20);
                        return orders.told().contains(RolloutPhase.COMPLETE);
                    },
                    rig::logText);
            int before = oldArrivals.get();
            call(rig, 100);
            assertEquals(before, oldArrivals.get(), "requests at servers that are stopped");
            assertEquals(List.of(RolloutPhase.TRIAL, RolloutPhase.COMPLETE), orders.told());
        }
    }

    /** Guards against servers of a second version staying nearly idle where no order names it. */
    @Test
    void versionWithoutOrderIsUsedLikeAnyOther() throws IOException {
        try (RawServer old = new RawServer(this::respondOld);
                RawServer target = new RawServer(this::respondGood);
                NodeRig rig = new NodeRig()) {
            rig.withRollouts();
            startFleet(rig, old, target);
            Await.until(
                    "the store's answer on all nodes",
                    () -> {
                        arrivals.set(0);
                        call(rig, 60);
                        return arrivals.get() >= 15;
                    },
                    rig::logText);
        }
    }
}
