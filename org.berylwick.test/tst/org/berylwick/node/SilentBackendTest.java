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
 * A backend server accepts requests and answers none, without resetting connections, because it was frozen or lost
 * power. Non-idempotent requests wait for it until their deadline, so later ones must be sent to other servers long
 * before that.
 */
@Timeout(60)
class SilentBackendTest {
    private static final int REQUEST_COUNT = 60;
    private static final int REQUEST_INTERVAL_MILLIS = 50;

    @Test
    void requestsAreRoutedElsewhereBeforeTheFirstReachesItsDeadline() throws InterruptedException {
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicBoolean frozen = new AtomicBoolean();
        try (RawServer silentServer = new RawServer((c, r) -> {
                    if (frozen.get()) {
                        unanswered.incrementAndGet();
                    } else {
                        NodeRig.respondOk(c, r);
                    }
                });
                RawServer healthyServer = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, "zone-a", Optional.of(silentServer), 100);
            rig.start(2, "zone-b", Optional.of(healthyServer), 100);
            rig.awaitReady(1);
            rig.awaitMemberKnown("i-2");
            for (int i = 0; i < 40; i++) {
                rig.call(1, "POST", "/pay/x", "first" + i, "");
            }
            frozen.set(true);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < REQUEST_COUNT; i++) {
                String id = "n" + i;
                callers.add(Thread.ofPlatform().start(() -> {
                    if (rig.call(1, "POST", "/pay/x", id, "").startsWith("HTTP/1.1 200")) {
                        served.incrementAndGet();
                    }
                }));
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
            for (Thread caller : callers) {
                caller.join();
            }
            assertTrue(
                    unanswered.get() <= 15,
                    unanswered + " of " + REQUEST_COUNT + " requests were sent to the silent server");
            assertTrue(served.get() >= REQUEST_COUNT - 15, served + " requests were served");
        }
    }

    /**
     * Heartbeats stop and all running requests are overdue: the backend server is sent no more requests until it
     * reports again, although a request still hangs there.
     */
    @Test
    void backendWithoutHeartbeatsIsMarkedAbsentWhileRequestsHang() throws InterruptedException {
        try (RawServer silentServer = new RawServer((c, r) -> {});
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(
                    1, b -> b.route(NodeRig.HOST, NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000))));
            rig.start(1, "zone-a", Optional.of(silentServer), 100);
            rig.awaitReady(1);
            Thread caller =
                    Thread.ofPlatform().start(() -> rig.send(1, NodeRig.request("POST", "/slow/x", "a1", 12_000, "")));
            Await.until(
                    "the backend server is marked absent", () -> rig.logText().contains("ABSENT"), rig::logText);
            String response = rig.call(1, "POST", "/pay/x", "a2", "");
            assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
            assertTrue(caller.isAlive(), "the first request ended");
            rig.report(1, silentServer, "i-1", 2, BackendState.READY, 100);
            Await.until(
                    "the backend server is ready again",
                    () -> rig.logText().lastIndexOf("READY") > rig.logText().lastIndexOf("ABSENT"),
                    rig::logText);
        }
    }
}
