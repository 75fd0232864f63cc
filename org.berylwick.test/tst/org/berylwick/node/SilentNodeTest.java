package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests requests at a node that has become silent. If a VM loses power, its connections stay open at the other end but
 * nothing is received any more. Without detection the caller would wait until its deadline; an idempotent request is
 * retried at another node as soon as the first one counts as silent.
 */
@Timeout(60)
class SilentNodeTest {
    private static final int LINK_MBPS = 100;
    /** On a link this slow, a body is sent only after the receiver has requested it by {@code 100 Continue}. */
    private static final int SLOW_LINK_MBPS = 5;

    private static final int BODY_BYTES = 60_000;
    /** Longer than the time without a datagram after which a node counts as silent, in a fleet of two nodes. */
    private static final int LONGER_THAN_SILENCE_TIMEOUT_MILLIS = 2_500;
    /** Longer than a gossip round; in each round, requests that are pending on silent nodes are notified. */
    private static final int LONGER_THAN_GOSSIP_ROUND_MILLIS = 1_200;

    @Test
    void idempotentRequestIsRetriedWhenNodeLosesPower() throws IOException, InterruptedException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig =
                        NodeRig.withEntryNode(versionWith(NodeRig.route("long", "/long/", RouteKind.BULK, 20_000)));
                ScriptedPeer silentPeer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            String[] response = new String[1];
            long startedAt = System.nanoTime();
            String request = NodeRig.request("GET", "/long/x", "a1", 20_000, "");
            Thread callThread = Thread.ofPlatform().start(() -> response[0] = rig.send(1, request));
            silentPeer.accept();
            rig.start(2, Optional.of(server));
            callThread.join();
            assertTrue(response[0].endsWith("ok"), response[0]);
            assertTrue(System.nanoTime() - startedAt < 10_000_000_000L, "the request was not answered within 10 s");
        }
    }

    /**
     * A node is running a request while its datagrams are lost, as on a saturated link. No other node can run the
     * request, so its response must be returned to the caller.
     */
    @Test
    void responseOfSilentNodeIsAcceptedWhenNoOtherNodeIsAvailable() throws Exception {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(1));
                ScriptedPeer silentPeer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            NodeRig.sleep(LONGER_THAN_SILENCE_TIMEOUT_MILLIS);
            CompletableFuture<String> response = callAsync(rig, "GET", "/read/x", "b1");
            try (ScriptedPeer.Connection call = silentPeer.accept()) {
                call.readHead();
                NodeRig.sleep(LONGER_THAN_GOSSIP_ROUND_MILLIS);
                call.respond("b1", "late but complete");
                assertTrue(response.join().endsWith("late but complete"), response.join());
            }
        }
    }

    /** Abandoning a non-idempotent request would only lose its response, since it must not be run a second time. */
    @Test
    void nonIdempotentRequestIsNotRetriedWhenNodeIsSilent() throws Exception {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = NodeRig.withEntryNode(
                        versionWith(NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000)));
                ScriptedPeer silentPeer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            CompletableFuture<String> response = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("POST", "/slow/x", "b2", 12_000, "")));
            try (ScriptedPeer.Connection call = silentPeer.accept()) {
                call.readHead();
                rig.start(2, Optional.of(server));
                NodeRig.sleep(2 * LONGER_THAN_SILENCE_TIMEOUT_MILLIS);
                call.respond("b2", "late but complete");
                assertTrue(response.join().endsWith("late but complete"), response.join());
                assertEquals(0, server.runs("b2"));
            }
        }
    }

    /**
     * Guards against a non-idempotent request waiting until its deadline at a silent node that never requested the
     * body. The request cannot have run there, so it can be sent to another node.
     */
    @Test
    void requestIsRetriedWhenSilentNodeHasNotRequestedItsBody() throws Exception {
        String body = "b".repeat(BODY_BYTES);
        try (RawServer server = new RawServer((c, r) -> {
                    c.read(BODY_BYTES);
                    NodeRig.respondOk(c, r);
                });
                NodeRig rig = NodeRig.withEntryNode(
                        versionWith(NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000)));
                ScriptedPeer silentPeer = ScriptedPeer.startAnnounced(rig, SLOW_LINK_MBPS)) {
            CompletableFuture<String> response = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("POST", "/slow/x", "b4", 12_000, body)));
            try (ScriptedPeer.Connection call = silentPeer.accept()) {
                call.readHead();
                rig.start(2, Optional.of(server));
                assertTrue(response.join().endsWith("ok"), response.join());
                assertEquals(1, server.runs("b4"));
            }
        }
    }

    /** If the other node refuses the retry, the response of the silent node is still used when it arrives. */
    @Test
    void responseOfSilentNodeIsAcceptedWhenRetryIsRefused() throws Exception {
        try (RawServer refusingServer = new RawServer((c, r) -> c.write("HTTP/1.1 503 Full\r\nx-request-id: " + r.id()
                        + "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"));
                NodeRig rig =
                        NodeRig.withEntryNode(versionWith(NodeRig.route("long", "/long/", RouteKind.BULK, 20_000)));
                ScriptedPeer silentPeer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            CompletableFuture<String> response = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/long/x", "b3", 20_000, "")));
            try (ScriptedPeer.Connection call = silentPeer.accept()) {
                call.readHead();
                rig.start(2, Optional.of(refusingServer));
                Await.until("retry at the other node", () -> refusingServer.runs("b3") > 0, rig::logText);
                NodeRig.sleep(300);
                call.respond("b3", "late but complete");
                assertTrue(response.join().endsWith("late but complete"), response.join());
            }
        }
    }

    private static ConfigurationVersion versionWith(Route route) {
        return NodeRig.version(1, b -> b.route(NodeRig.HOST, route));
    }

    private static CompletableFuture<String> callAsync(NodeRig rig, String method, String path, String id) {
        return CompletableFuture.supplyAsync(() -> rig.call(1, method, path, id, ""));
    }

    /**
     * The log entry of a call that ended at its deadline must name the node for which the call was waiting; otherwise
     * the cause could not be found.
     */
    @Test
    void logOfExpiredCallNamesTheNodeItWaitedFor() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(
                        versionWith(NodeRig.route("quick", "/quick/", RouteKind.NON_IDEMPOTENT, 300)));
                ScriptedPeer silentPeer = new ScriptedPeer(rig)) {
            silentPeer.announce(LINK_MBPS);
            String response = rig.send(1, NodeRig.request("POST", "/quick/x", "a2", 20_000, ""));
            assertTrue(response.startsWith("HTTP/1.1 504"), response);
            String expectedLogEntry = rig.ip(9) + "=PENDING";
            Await.until(
                    "log entry that names the silent node",
                    () -> rig.logText().contains(expectedLogEntry),
                    rig::logText);
        }
    }
}
