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

/** Answers that are large for the link of the VM that makes them. */
@Timeout(60)
class LargeAnswerTest {
    private static final double NARROW_MBPS = 30;
    /** Takes ten seconds for an answer. */
    private static final double VERY_NARROW_MBPS = 5;
    /** More than the system takes for a connection whose other end does not read. */
    private static final int LENGTH = 6_000_000;

    private static final String LARGE = "x".repeat(LENGTH);

    private static RawServer server() {
        return new RawServer((c, r) -> c.write(NodeRig.answerTo(r, r.path().startsWith("/bulk/") ? LARGE : "small")));
    }

    /** An owner on a narrow link, whose backend server has one slot. */
    private static NodeRig ownerOf(RawServer server) {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(NodeRig.version(1));
        rig.startOnLink(1, server, 1, NARROW_MBPS);
        rig.awaitReady(1);
        return rig;
    }

    /** Guards against bytes that wait for a node that lost power, and keep the link busy for good. */
    @Test
    void answerIsDroppedAtItsDeadline() throws IOException {
        try (RawServer server = server();
                NodeRig rig = ownerOf(server)) {
            try (Socket node = rig.askAsNode(1, "l2", LENGTH, 3_000)) {
                Await.until("it runs", () -> server.runs("l2") == 1, rig::logged);
                NodeRig.sleep(4_000);
                assertTrue(bytesUntilClosed(node) < LENGTH, "all of it came after the deadline");
            }
        }
    }

    /** Guards against a link that is told as nearly free while most of a large answer is still to be read. */
    @Test
    void allOfAnAnswerCountsUntilItHasLeft() throws IOException {
        try (RawServer server = server();
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node owner = rig.startOnLink(1, server, 1, VERY_NARROW_MBPS);
            rig.awaitReady(1);
            try (Socket node = rig.askAsNode(1, "l3", LENGTH, 30_000)) {
                assertEquals('H', node.getInputStream().read(), "the answer did not begin");
                NodeRig.sleep(500);
                long busyMillis = NodeRig.gauge(owner, NodeMetricNames.LINK_OUTGOING_BUSY_MS);
                assertTrue(busyMillis > 8_000, "busy for " + busyMillis + " ms");
            }
        }
    }

    private static int bytesUntilClosed(Socket node) {
        int count = 0;
        byte[] part = new byte[65_536];
        try {
            node.setSoTimeout(10_000);
            for (int n = node.getInputStream().read(part);
                    n >= 0;
                    n = node.getInputStream().read(part)) {
                count += n;
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("not closed after " + count + " bytes", e);
        } catch (IOException e) {
            return count;
        }
        return count;
    }

    /** Guards against calls refused for want of a slot that only the link, or a slow reader, keeps from being free. */
    @Test
    void slotIsFreeWhileALargeAnswerLeaves() throws IOException {
        try (RawServer server = server();
                NodeRig rig = ownerOf(server)) {
            try (Socket node = rig.askAsNode(1, "l1", LENGTH, 9_000)) {
                Await.until("it runs", () -> server.runs("l1") == 1, rig::logged);
                NodeRig.sleep(500);
                String small = rig.call(1, "GET", "/read/x", "s1", "");
                assertTrue(small.endsWith("small"), small);
                assertEquals('H', node.getInputStream().read(), "the large answer did not begin");
            }
        }
    }
}
