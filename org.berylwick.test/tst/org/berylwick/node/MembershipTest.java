package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.berylwick.node.lib.BackendState;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that nodes learn of each other's backend servers, and that an acknowledged deregistration takes effect. */
@Timeout(60)
class MembershipTest {
    @Test
    void nodeWithoutBackendServerForwardsToAnotherNode() {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.empty());
            rig.start(2, Optional.of(server));
            rig.awaitReady(1);
            Await.until(
                    "response from the backend server of node 2",
                    () -> rig.call(1, "GET", "/read/x", "a", "").endsWith("ok"),
                    rig::logText);
            assertEquals("caller-1", server.requests().get(0).header("x-caller"));
        }
    }

    /**
     * Guards against requests being sent to a backend server after its node has acknowledged its report that it is
     * draining, or its deregistration. Neither an earlier heartbeat that was delayed in the network nor a later one may
     * make it ready again.
     */
    @Test
    void heartbeatDoesNotUndoAcknowledgedDrainOrDeregistration() {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            assertTrue(rig.call(1, "GET", "/read/x", "a1", "").endsWith("ok"));
            rig.report(1, server, "i-1", 5, BackendState.DRAINING, 2);
            rig.report(1, server, "i-1", 4, BackendState.READY, 2);
            rig.report(1, server, "i-1", 6, BackendState.READY, 2);
            assertTrue(rig.call(1, "GET", "/read/x", "a2", "").startsWith("HTTP/1.1 503"));
            rig.leave(1, "i-1");
            rig.report(1, server, "i-1", 7, BackendState.READY, 2);
            assertTrue(rig.call(1, "GET", "/read/x", "a3", "").startsWith("HTTP/1.1 503"));
            assertEquals(1, server.requests().size());
        }
    }

    /**
     * Guards against a delayed heartbeat of a crashed incarnation replacing the incarnation that is running now. This
     * also applies to an incarnation that the node has never seen: the sequence number of its heartbeat is higher than
     * that of the running incarnation, which has just started, so the heartbeat must be delayed.
     */
    @Test
    void delayedHeartbeatOfEarlierIncarnationIsIgnored() {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.of(server));
            rig.report(1, server, "i-new", 1, BackendState.READY, 2);
            rig.report(1, server, "i-1", 9, BackendState.READY, 2);
            rig.report(1, server, "i-unknown", 40, BackendState.READY, 2);
            rig.awaitReady(1);
            assertTrue(rig.call(1, "GET", "/read/x", "a1", "").endsWith("ok"));
            assertEquals("i-new", server.requests().get(0).header("x-target"));
        }
    }

    /** A node that cannot read the store obtains the version from a node that could. */
    @Test
    void nodeWithoutStoreAccessFetchesVersionFromAnotherNode() {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            rig.configuration.setUnavailable(true);
            rig.start(2, Optional.empty());
            rig.awaitReady(2);
            // The log is written by a thread of its own.
            Await.until(
                    "the version comes from node 1",
                    () -> rig.logText().contains("\"from\":\"" + rig.ip(1) + "\""),
                    rig::logText);
        }
    }

    /**
     * During a planned stop the node reports immediately that it is not ready, but still accepts requests, and exits
     * only after running requests have been answered.
     */
    @Test
    void plannedStopCompletesRunningRequest() throws InterruptedException {
        try (RawServer server = new RawServer((c, r) -> {
                    NodeRig.sleep(800);
                    NodeRig.respondOk(c, r);
                });
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node node = rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            String[] responses = new String[1];
            Thread callThread = Thread.ofPlatform().start(() -> responses[0] = rig.call(1, "POST", "/pay/x", "a1", ""));
            Await.until("start of the request at the backend server", () -> server.runs("a1") == 1, rig::logText);
            Thread stopThread = Thread.ofPlatform().start(node::stop);
            Await.until("end of the node's readiness", () -> !rig.isReady(1), rig::logText);
            callThread.join();
            assertTrue(responses[0].endsWith("ok"), responses[0]);
            stopThread.join();
        }
    }

    /**
     * One of two backend servers closes the connection instead of responding to every other request. The failed
     * requests are not idempotent and cannot be retried, so the nodes must prefer the other backend server.
     */
    @Test
    void backendServerThatDropsResponsesReceivesFewNonIdempotentRequests() {
        int[] requestCount = {0};
        try (RawServer faulty = new RawServer((c, r) -> {
                    if (requestCount[0]++ % 2 == 0) {
                        NodeRig.respondOk(c, r);
                    } else {
                        c.close();
                    }
                });
                RawServer healthy = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.of(faulty));
            rig.start(2, Optional.of(healthy));
            rig.awaitReady(1);
            rig.awaitMemberKnown("i-2");
            for (int i = 0; i < 60; i++) {
                rig.call(1, "POST", "/pay/x", "a" + i, "");
            }
            assertTrue(
                    faulty.requests().size() < 20,
                    "requests sent to the faulty backend server: "
                            + faulty.requests().size());
        }
    }
}
