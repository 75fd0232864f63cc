package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which responses on a connection between two nodes are taken for the response to a forwarded request. */
@Timeout(60)
class PeerResponseTest {
    private static final int LINK_MBPS = 100;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int RESEND_MILLIS = 1_000;
    private static final String REFUSED = "HTTP/1.1 503 Busy\r\nbw-outcome: refused;BUSY;false;0;0;8;50000;0;0;0\r\n";

    private static NodeRig rigWithEntryNode() {
        return NodeRig.withEntryNode(NodeRig.version(
                1,
                b -> b.route(NodeRig.HOST, NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, TIMEOUT_MILLIS))));
    }

    private static CompletableFuture<String> callAsync(NodeRig rig, String id) {
        return CompletableFuture.supplyAsync(
                () -> rig.send(1, NodeRig.request("POST", "/slow/x", id, TIMEOUT_MILLIS, "")));
    }

    private static void answerFirst(NodeRig rig, CompletableFuture<String> first, ScriptedPeer.Connection connection)
            throws IOException {
        connection.readHead();
        connection.respond("first", "done");
        assertTrue(first.join().endsWith("done"), rig.logText());
    }

    /**
     * Guards against a success of another request: a node responds to an earlier request again when the next one waits
     * on the same connection. The caller must not get that response.
     */
    @Test
    void secondResponseToEarlierRequestIsNotDelivered() throws IOException {
        try (NodeRig rig = rigWithEntryNode();
                ScriptedPeer peer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            CompletableFuture<String> first = callAsync(rig, "first");
            try (ScriptedPeer.Connection connection = peer.accept()) {
                answerFirst(rig, first, connection);
                CompletableFuture<String> second = callAsync(rig, "second");
                connection.readHead();
                connection.write("HTTP/1.1 200 OK\r\nbw-outcome: answered;;false;0;0;8;50000;0;0;0\r\n"
                        + "bw-request: first\r\nx-request-id: first\r\nx-signature: s\r\ncontent-length: 5\r\n\r\n"
                        + "extra");
                String response = second.join();
                assertFalse(response.contains("extra"), response);
                assertTrue(response.startsWith("HTTP/1.1 502"), response);
            }
        }
    }

    /**
     * Guards against a second run: a node refuses an earlier request again when the next one waits on the same
     * connection. The latter may have run, so it must not be sent again.
     */
    @Test
    void refusalOfEarlierRequestIsNotBelieved() throws IOException {
        try (NodeRig rig = rigWithEntryNode();
                ScriptedPeer peer = ScriptedPeer.startAnnounced(rig, LINK_MBPS)) {
            CompletableFuture<String> first = callAsync(rig, "first");
            try (ScriptedPeer.Connection connection = peer.accept()) {
                answerFirst(rig, first, connection);
                CompletableFuture<String> second = callAsync(rig, "second");
                connection.readHead();
                connection.write(REFUSED + "bw-request: first\r\ncontent-length: 0\r\n\r\n");
                assertFalse(connection.receivesWithin(RESEND_MILLIS), "the request was sent again");
                assertTrue(second.join().startsWith("HTTP/1.1 502"), second.join());
            }
        }
    }
}
