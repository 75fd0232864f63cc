package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a caller gets for a path that has no route in the version in force. */
@Timeout(60)
class UnknownRouteTest {
    private static final String NEW_PATH = "/new/x";

    private static ConfigurationVersion versionWithNewRoute(long number) {
        return NodeRig.version(
                number, b -> b.route(NodeRig.HOST, NodeRig.route("new", "/new/", RouteKind.IDEMPOTENT, 2_000)));
    }

    /** Guards against a node that knows of a newer version saying that a route of that version does not exist. */
    @Test
    void newRouteIsNotDeniedWhileNodeLags() throws IOException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig();
                VersionPeer peer = new VersionPeer(rig, 9, "zone-a")) {
            rig.configuration.publish(NodeRig.version(5));
            rig.configuration.addUnpublished(versionWithNewRoute(6));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            rig.configuration.setUnavailable(true);
            peer.hold();
            peer.announce(6);
            peer.awaitRequest();
            String whileLagging = rig.call(1, "GET", NEW_PATH, "a1", "");
            assertTrue(whileLagging.startsWith("HTTP/1.1 503"), whileLagging);
            assertTrue(whileLagging.toLowerCase(Locale.ROOT).contains("retry-after"), whileLagging);
            peer.release();
            rig.awaitVersion(1, 6);
            String caughtUp = rig.call(1, "GET", NEW_PATH, "a2", "");
            assertTrue(caughtUp.endsWith("ok"), caughtUp);
        }
    }

    /** Guards against callers who ask for paths that do not exist causing a read of the store each. */
    @Test
    void unknownPathsCauseFewReads() {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(5))) {
            long readsBefore = rig.counter(1, NodeMetricNames.STORE_READS);
            long startedAt = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                String response = rig.call(1, "GET", NEW_PATH + i, "a" + i, "");
                assertTrue(response.startsWith("HTTP/1.1 404") || response.startsWith("HTTP/1.1 503"), response);
            }
            long seconds = (System.nanoTime() - startedAt) / 1_000_000_000L;
            long reads = rig.counter(1, NodeMetricNames.STORE_READS) - readsBefore;
            // The fallback poll may add one in each two seconds.
            assertTrue(reads <= 2 + 2 * seconds, reads + " reads in " + seconds + " s");
        }
    }

    /** Guards against a 404 of a node that hears no other node and cannot reach the store. */
    @Test
    void isolatedNodeDoesNotDenyRoutes() {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(5))) {
            rig.configuration.setUnavailable(true);
            Await.until(
                    "refusal instead of a denial",
                    () -> rig.call(1, "GET", NEW_PATH, "a" + System.nanoTime(), "")
                            .startsWith("HTTP/1.1 503"),
                    rig::logText);
            rig.configuration.setUnavailable(false);
            Await.until(
                    "denial, as the store confirms the version",
                    () -> rig.call(1, "GET", NEW_PATH, "a" + System.nanoTime(), "")
                            .startsWith("HTTP/1.1 404"),
                    rig::logText);
        }
    }

    /** Guards against a request for a new route being refused although the version arrives while it waits. */
    @Test
    void requestIsServedByVersionThatArrivesMeanwhile() throws Exception {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig();
                VersionPeer peer = new VersionPeer(rig, 9, "zone-a")) {
            rig.configuration.publish(NodeRig.version(5));
            rig.configuration.addUnpublished(versionWithNewRoute(6));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            rig.configuration.setUnavailable(true);
            peer.hold();
            peer.announce(6);
            peer.awaitRequest();
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> rig.call(1, "GET", NEW_PATH, "a1", ""));
            Thread.sleep(100);
            peer.release();
            String text = response.get();
            assertTrue(text.endsWith("ok"), text);
        }
    }

    /** Guards against a number that no version has, sent by another node, turning every denial into a refusal. */
    @Test
    void announcedNumberThatIsNotInTheStoreIsDisregarded() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(5));
                VersionPeer peer = new VersionPeer(rig, 9, "zone-a")) {
            peer.hold();
            peer.announce(1_000);
            peer.awaitRequest();
            Await.until(
                    "denial, as the store does not have the version",
                    () -> rig.call(1, "GET", NEW_PATH, "a" + System.nanoTime(), "")
                            .startsWith("HTTP/1.1 404"),
                    rig::logText);
        }
    }
}
