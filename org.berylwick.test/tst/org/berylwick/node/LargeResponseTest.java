package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses that are large for the network link of the VM whose backend server sends them. */
@Timeout(60)
class LargeResponseTest {
    private static final double SLOW_LINK_MBPS = 30;
    /** A large response takes about ten seconds on this link. */
    private static final double VERY_SLOW_LINK_MBPS = 5;
    /** More than the operating system buffers for a connection whose other end does not read. */
    private static final int BODY_LENGTH = 6_000_000;

    private static final String LARGE_BODY = "x".repeat(BODY_LENGTH);

    private static RawServer startServer() {
        return new RawServer((c, r) -> c.write(NodeRig.responseTo(r, r.path().startsWith("/bulk/") ? LARGE_BODY : "small")));
    }

    /** Starts an owner on a slow link, whose backend server has one slot. */
    private static NodeRig startOwner(RawServer server) {
        NodeRig rig = new NodeRig();
        rig.configuration.accept(NodeRig.version(1));
        rig.startWithLink(1, server, 1, SLOW_LINK_MBPS);
        rig.awaitReady(1);
        return rig;
    }

    /**
     * Guards against an owner that keeps response bytes for a node that lost power, and reports its link as busy
     * permanently. */
    @Test
    void responseIsDroppedAtDeadline() throws IOException {
        try (RawServer server = startServer();
                NodeRig rig = startOwner(server)) {
            try (Socket peerSocket = rig.requestAsPeer(1, "l2", BODY_LENGTH, 3_000)) {
                Await.until("arrival of the request at the backend server", () -> server.runs("l2") == 1, rig::logText);
                NodeRig.sleep(4_000);
                assertTrue(
                        countBytesUntilClosed(peerSocket) < BODY_LENGTH,
                        "the response was sent completely after its deadline");
            }
        }
    }

    /** Guards against a link reported as nearly idle while most of a large response is still to be read and sent. */
    @Test
    void unsentResponseBytesCountAsLinkLoad() throws IOException {
        try (RawServer server = startServer();
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node owner = rig.startWithLink(1, server, 1, VERY_SLOW_LINK_MBPS);
            rig.awaitReady(1);
            try (Socket peerSocket = rig.requestAsPeer(1, "l3", BODY_LENGTH, 30_000)) {
                assertEquals('H', peerSocket.getInputStream().read(), "no first byte of the response");
                NodeRig.sleep(500);
                long busyMillis = NodeRig.gauge(owner, NodeMetricNames.LINK_OUTGOING_BUSY_MS);
                assertTrue(busyMillis > 8_000, "the link is reported as busy for only " + busyMillis + " ms");
            }
        }
    }

    private static int countBytesUntilClosed(Socket peerSocket) {
        int count = 0;
        byte[] buffer = new byte[65_536];
        try {
            peerSocket.setSoTimeout(10_000);
            for (int n = peerSocket.getInputStream().read(buffer);
                    n >= 0;
                    n = peerSocket.getInputStream().read(buffer)) {
                count += n;
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("connection not closed after " + count + " bytes", e);
        } catch (IOException e) {
            return count;
        }
        return count;
    }

    /**
     * Guards against a slot that stays occupied, so that calls are refused, until a slow link or reader has caught up. */
    @Test
    void slotIsFreeWhileLargeResponseIsSent() throws IOException {
        try (RawServer server = startServer();
                NodeRig rig = startOwner(server)) {
            try (Socket peerSocket = rig.requestAsPeer(1, "l1", BODY_LENGTH, 9_000)) {
                Await.until("arrival of the request at the backend server", () -> server.runs("l1") == 1, rig::logText);
                NodeRig.sleep(500);
                String response = rig.call(1, "GET", "/read/x", "s1", "");
                assertTrue(response.endsWith("small"), response);
                assertEquals('H', peerSocket.getInputStream().read(), "no first byte of the large response");
            }
        }
    }
}
