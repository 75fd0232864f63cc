package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A backend server takes requests and answers none, without a reset: it was frozen, or lost its power. Requests that
 * must run once stay with it until their deadline, so the next ones have to go elsewhere long before that.
 */
@Timeout(60)
class SilentBackendTest {
    private static final int REQUESTS = 60;
    private static final int GAP_MILLIS = 50;

    @Test
    void requestsGoElsewhereBeforeTheFirstOneReachesItsDeadline() throws InterruptedException {
        AtomicInteger swallowed = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicBoolean frozen = new AtomicBoolean();
        try (RawServer silent = new RawServer((c, r) -> {
                    if (frozen.get()) {
                        swallowed.incrementAndGet();
                    } else {
                        NodeRig.answerOk(c, r);
                    }
                });
                RawServer good = new RawServer(NodeRig::answerOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, "zone-a", Optional.of(silent), 100);
            rig.start(2, "zone-b", Optional.of(good), 100);
            rig.awaitReady(1);
            rig.awaitHeard("i-2");
            for (int i = 0; i < 40; i++) {
                rig.call(1, "POST", "/pay/x", "first" + i, "");
            }
            frozen.set(true);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = "n" + i;
                callers.add(Thread.ofPlatform().start(() -> {
                    if (rig.call(1, "POST", "/pay/x", id, "").startsWith("HTTP/1.1 200")) {
                        served.incrementAndGet();
                    }
                }));
                Thread.sleep(GAP_MILLIS);
            }
            for (Thread caller : callers) {
                caller.join();
            }
            assertTrue(swallowed.get() <= 15, swallowed + " of " + REQUESTS + " were sent to the silent one");
            assertTrue(served.get() >= REQUESTS - 15, served + " served");
        }
    }

    /** Heartbeats stop and what runs is overdue: it is no longer offered, though requests still hang there. */
    @Test
    void oneWithoutHeartbeatsIsGivenUpWhileRequestsHangThere() throws InterruptedException {
        try (RawServer silent = new RawServer((c, r) -> {});
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(
                    1, b -> b.route(NodeRig.HOST, NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000))));
            rig.start(1, "zone-a", Optional.of(silent), 100);
            rig.awaitReady(1);
            Thread caller =
                    Thread.ofPlatform().start(() -> rig.send(1, NodeRig.request("POST", "/slow/x", "a1", 12_000, "")));
            Await.until("it is given up", () -> rig.logged().contains("ABSENT"), rig::logged);
            String answer = rig.call(1, "POST", "/pay/x", "a2", "");
            assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After"), answer);
            assertTrue(caller.isAlive(), "the first request ended");
            rig.report(1, silent, "i-1", 2, BackendState.READY, 100);
            Await.until(
                    "it is believed again",
                    () -> rig.logged().lastIndexOf("READY") > rig.logged().lastIndexOf("ABSENT"),
                    rig::logged);
        }
    }
}
