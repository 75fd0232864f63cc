package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which requests with and without the key of an organisation reach a backend server, and what it receives. */
@Timeout(60)
class OrganisationKeyTest {
    private static final String PATH = "/member/x";

    private final List<Map<String, String>> received = new CopyOnWriteArrayList<>();

    private void record(RawServer.Connection connection, RawServer.Request request) throws IOException {
        received.add(request.headers());
        NodeRig.respondOk(connection, request);
    }

    private static ConfigurationVersion version(long number, String... keys) {
        Route protectedRoute = new Route(
                "member",
                "/member/",
                RouteKind.IDEMPOTENT,
                2_000_000_000L,
                600_000_000L,
                2,
                1,
                List.of(new WeightedService("work", 1)),
                true);
        return NodeRig.version(
                number,
                b -> b.route(NodeRig.HOST, protectedRoute)
                        .organisation(new Organisation("acme", OrganisationTag.NO_PRIORITY, 0, 0), List.of(keys)));
    }

    private static String request(String id, String... headers) {
        StringBuilder request = new StringBuilder(NodeRig.request("GET", PATH, id, 2_000, ""));
        for (String header : headers) {
            request.insert(request.indexOf("\r\n") + 2, header + "\r\n");
        }
        return request.toString();
    }

    /** Guards against a backend server receiving a key, or the organisation that a caller claims to be. */
    @Test
    void serverReceivesNameInsteadOfKeyOnBothPaths() throws IOException {
        try (RawServer server = new RawServer(this::record);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version(5, "key-1"));
            rig.start(1, Optional.of(server));
            rig.start(2, Optional.empty());
            rig.awaitReady(1);
            rig.awaitReady(2);
            for (int node = 1; node <= 2; node++) {
                String response = rig.send(node, request("a" + node, "x-key: key-1", "x-organisation: other"));
                assertTrue(response.endsWith("ok"), response);
            }
            assertEquals(2, received.size());
            for (Map<String, String> headers : received) {
                assertEquals("acme", headers.get("x-organisation"));
                assertFalse(headers.containsKey("x-key") || headers.containsKey("bw-organisation"), headers.toString());
            }
        }
    }

    /** Guards against a request being run that has no key, an unknown one, or two. */
    @Test
    void requestWithoutValidKeyIsDenied() throws IOException {
        try (RawServer server = new RawServer(this::record);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version(5, "key-1"));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            List<String[]> invalid =
                    List.of(new String[0], new String[] {"x-key: key-2"}, new String[] {"x-key:"}, new String[] {
                        "x-key: key-1", "x-key: key-2"
                    });
            for (String[] headers : invalid) {
                Await.until(
                        "denial",
                        () -> rig.send(1, request("a" + System.nanoTime(), headers))
                                .startsWith("HTTP/1.1 401"),
                        rig::logText);
            }
            assertTrue(received.isEmpty());
            assertFalse(rig.logText().contains("key-2"), "a key is in the log");
        }
    }

    /** Guards against a 401 of a node that lags behind the version in which the key was added. */
    @Test
    void newKeyIsNotDeniedWhileNodeLags() throws IOException {
        try (RawServer server = new RawServer(this::record);
                NodeRig rig = new NodeRig();
                VersionPeer peer = new VersionPeer(rig, 9, "zone-a")) {
            rig.configuration.publish(version(5, "key-1"));
            rig.configuration.addUnpublished(version(6, "key-1", "key-2"));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            rig.configuration.setUnavailable(true);
            peer.hold();
            peer.announce(6);
            peer.awaitRequest();
            String whileLagging = rig.send(1, request("a1", "x-key: key-2"));
            assertTrue(whileLagging.startsWith("HTTP/1.1 503"), whileLagging);
            peer.release();
            rig.awaitVersion(1, 6);
            String caughtUp = rig.send(1, request("a2", "x-key: key-2"));
            assertTrue(caughtUp.endsWith("ok"), caughtUp);
        }
    }

    /** Guards against a key that was taken away still being accepted, by a node that learns of it from others only. */
    @Test
    void removedKeyIsDeniedWithoutStore() throws IOException {
        try (RawServer server = new RawServer(this::record);
                NodeRig rig = new NodeRig();
                VersionPeer peer = new VersionPeer(rig, 9, "zone-a")) {
            rig.configuration.publish(version(5, "key-1"));
            rig.configuration.addUnpublished(version(6));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            assertTrue(rig.send(1, request("a1", "x-key: key-1")).endsWith("ok"));
            rig.configuration.setUnavailable(true);
            peer.announce(6);
            rig.awaitVersion(1, 6);
            String response = rig.send(1, request("a2", "x-key: key-1"));
            assertFalse(response.endsWith("ok"), response);
            assertEquals(1, received.size());
        }
    }

    /** Guards against routes that need no key being closed to callers without one. */
    @Test
    void openRouteNeedsNoKey() throws IOException {
        try (RawServer server = new RawServer(this::record);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version(5, "key-1"));
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            String response = rig.call(1, "GET", "/read/x", "a1", "");
            assertTrue(response.endsWith("ok"), response);
        }
    }
}
