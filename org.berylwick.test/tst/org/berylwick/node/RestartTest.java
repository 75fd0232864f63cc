package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that stop or start a node while the backend server on the same VM keeps running. */
@Timeout(60)
class RestartTest {
    private static final String HEALTH_PATH = "/healthy";

    private static ConfigurationVersion version() {
        return NodeRig.version(
                1,
                b -> b.service("caller-1", 10, HEALTH_PATH)
                        .route(
                                NodeRig.HOST,
                                new Route(
                                        "own",
                                        "/own/",
                                        RouteKind.NON_IDEMPOTENT,
                                        2_000_000_000L,
                                        600_000_000L,
                                        2,
                                        1,
                                        List.of(new WeightedService("caller-1", 1)))));
    }

    private static void respondWithHealth(String incarnation, int status, RawServer.Connection c, RawServer.Request r)
            throws IOException {
        if (!r.path().equals(HEALTH_PATH)) {
            NodeRig.respondOk(c, r);
            return;
        }
        c.write("HTTP/1.1 " + status + " Health\r\nx-instance: " + incarnation
                + "\r\nx-load: 1,0,3,250\r\nContent-Length: 0\r\n\r\n");
    }

    /**
     * Guards against a restarted node refusing callers until the next heartbeat of its backend server, which is already
     * running. The node sends it a health check, learns its incarnation from the response, and serves requests from
     * then on.
     */
    @Test
    void restartedNodeServesBeforeNextHeartbeat() {
        try (RawServer server = new RawServer((c, r) -> respondWithHealth("i-running", 200, c, r));
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until(
                    "response from the backend server",
                    () -> rig.call(1, "POST", "/own/x", "a" + System.nanoTime(), "")
                            .endsWith("ok"),
                    rig::logText);
            assertEquals("i-running", lastRequest(server).header("x-target"));
        }
    }

    /** Guards against a node that has just started serving callers by the version of a node that lags. */
    @Test
    void startedNodeIsReadyOnlyWithNewestVersionThatItKnowsOf() throws Exception {
        try (NodeRig rig = new NodeRig();
                VersionPeer lagging = new VersionPeer(rig, 8, "zone-a");
                VersionPeer current = new VersionPeer(rig, 9, "zone-a")) {
            rig.configuration.addUnpublished(NodeRig.version(5));
            rig.configuration.addUnpublished(NodeRig.version(6));
            rig.configuration.setUnavailable(true);
            current.hold();
            rig.start(1, Optional.empty());
            current.announce(6);
            current.awaitRequest();
            lagging.announce(5);
            rig.awaitVersion(1, 5);
            assertFalse(rig.isReady(1));
            current.release();
            rig.awaitReady(1);
            rig.awaitVersion(1, 6);
        }
    }

    /**
     * A backend server that is shutting down fails the health check, and must not get requests from a restarted node.
     */
    @Test
    void restartedNodeSendsNoRequestsToUnhealthyBackendServer() {
        List<String> requestedPaths = new CopyOnWriteArrayList<>();
        try (RawServer server = new RawServer((c, r) -> {
                    requestedPaths.add(r.path());
                    respondWithHealth("i-leaving", 503, c, r);
                });
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until("second health check", () -> requestedPaths.size() >= 2, rig::logText);
            assertTrue(rig.call(1, "POST", "/own/x", "a1", "").startsWith("HTTP/1.1 503"));
            assertTrue(requestedPaths.stream().allMatch(HEALTH_PATH::equals), requestedPaths.toString());
        }
    }

    /** Guards against requests for a backend server in trouble, whose health check is answered with an invalid head. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 Health\r\n", "HTTP/1.1 200 Health\r\nx pad: 1\r\n"})
    void healthCheckWithInvalidHeadIsNotBelieved(String head) {
        try (RawServer server = new RawServer((connection, request) ->
                        connection.write(head + "x-instance: i-1\r\nx-load: 1,0,3,250\r\nContent-Length: 0\r\n\r\n"));
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until("second health check", () -> server.requests().size() >= 2, rig::logText);
            String response = rig.call(1, "POST", "/own/x", "a1", "");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertEquals(0, server.runs("a1"));
        }
    }

    /**
     * The backend server is replaced after the health check: the first heartbeat of the new incarnation takes
     * precedence over the result of the health check.
     */
    @Test
    void firstHeartbeatReplacesProbedIncarnation() {
        try (RawServer server = new RawServer((c, r) -> respondWithHealth("i-old", 200, c, r));
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until(
                    "result of the health check in the log", () -> rig.logText().contains("i-old"), rig::logText);
            rig.report(1, "caller-1", server, "i-new", 1, BackendState.READY, 2);
            assertTrue(rig.call(1, "POST", "/own/x", "a1", "").endsWith("ok"));
            assertEquals("i-new", lastRequest(server).header("x-target"));
        }
    }

    /**
     * Guards against a backend server idling while its node stops. The platform needs two seconds to route the node's
     * callers elsewhere; until then the node must keep serving requests from other nodes. It learns from two failed
     * readiness checks that its callers have been routed elsewhere.
     */
    @Test
    void stoppingNodeServesOtherNodesUntilItsCallersAreGone() throws InterruptedException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node stoppingNode = rig.start(1, Optional.of(server));
            rig.start(2, Optional.empty());
            rig.awaitReady(2);
            Await.until(
                    "response through node 2",
                    () -> rig.call(2, "POST", "/pay/x", "a" + System.nanoTime(), "")
                            .endsWith("ok"),
                    rig::logText);
            Thread stopThread = Thread.ofPlatform().start(stoppingNode::stop);
            Await.until("end of the readiness of node 1", () -> !rig.isReady(1), rig::logText);
            for (int i = 0; i < 10; i++) {
                assertTrue(rig.call(2, "POST", "/pay/x", "b" + i, "").endsWith("ok"), rig.logText());
                NodeRig.sleep(60);
            }
            NodeRig.sleep(300);
            // The second failed readiness check, after which the node assumes that its callers are routed elsewhere.
            rig.isReady(1);
            long callersGoneAt = System.nanoTime();
            stopThread.join();
            long millis = (System.nanoTime() - callersGoneAt) / 1_000_000;
            assertTrue(millis < 1_200, "node stopped " + millis + " ms after its callers were gone");
            assertTrue(rig.call(2, "POST", "/pay/x", "c", "").startsWith("HTTP/1.1 503"), rig.logText());
        }
    }

    /**
     * A request that was running before the stop makes a call of its own through the stopping node's port for callers,
     * after the node's other callers are gone. If the port were closed by then, the call and the request would fail.
     */
    @Test
    void requestRunningOnStoppingNodeCanStillMakeCalls() throws InterruptedException {
        NodeRig[] rigHolder = new NodeRig[1];
        String[] innerResponse = new String[1];
        try (RawServer server = new RawServer((c, r) -> {
                    if (r.id().equals("outer")) {
                        NodeRig.sleep(1_500);
                        innerResponse[0] = rigHolder[0].call(1, "GET", "/read/x", "inner", "");
                    }
                    NodeRig.respondOk(c, r);
                });
                RawServer otherServer = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rigHolder[0] = rig;
            rig.configuration.publish(NodeRig.version(1));
            Node stoppingNode = rig.start(1, Optional.of(server));
            rig.start(2, "zone-b", Optional.of(otherServer), 2);
            rig.awaitReady(1);
            rig.awaitMemberKnown("i-2");
            String[] outerResponse = new String[1];
            Thread callThread =
                    Thread.ofPlatform().start(() -> outerResponse[0] = rig.call(1, "POST", "/pay/x", "outer", ""));
            Await.until("start of the request at the backend server", () -> server.runs("outer") == 1, rig::logText);
            Thread stopThread = Thread.ofPlatform().start(stoppingNode::stop);
            // Two failed readiness checks, after which the node assumes that its callers are routed elsewhere.
            rig.isReady(1);
            NodeRig.sleep(700);
            rig.isReady(1);
            callThread.join();
            stopThread.join();
            assertTrue(outerResponse[0].endsWith("ok"), outerResponse[0]);
            assertTrue(innerResponse[0].endsWith("ok"), innerResponse[0]);
        }
    }

    private static RawServer.Request lastRequest(RawServer server) {
        return server.requests().get(server.requests().size() - 1);
    }
}
