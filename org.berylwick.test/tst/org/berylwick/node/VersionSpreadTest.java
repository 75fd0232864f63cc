package org.berylwick.node;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.VersionDeltaCodec;
import org.berylwick.node.version.VersionUpdater;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that versions reach nodes that do not watch the store without overloading a slow link or a slow CPU. */
@Timeout(60)
class VersionSpreadTest {
    private static final int SLOW_LINK_MBPS = 2;
    private static final int BURST_VERSIONS = 40;
    private static final int BURST_INTERVAL_MILLIS = 25;

    private static long versionInForce(Node node) {
        return metric(node, "version.in_force");
    }

    private static long metric(Node node, String name) {
        for (String line : node.counters().render().split("\n")) {
            String[] words = line.split("[ :=]+");
            if (words[0].equals(name)) {
                return Long.parseLong(words[1]);
            }
        }
        throw new IllegalStateException("no metric named " + name);
    }

    /** Guards against each node parsing every one of 40 versions that are accepted within a second. */
    @Test
    void burstInstallsOnlySomeVersionsAndTheLastOnePromptly() throws InterruptedException {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node[] nodes = new Node[4];
            for (int i = 1; i <= 3; i++) {
                nodes[i] = rig.start(i, Optional.empty());
            }
            rig.awaitReady(3);
            Await.until("first version at node 3", () -> versionInForce(nodes[3]) == 1, rig::logText);
            Thread.sleep(300);
            for (int i = 2; i <= BURST_VERSIONS; i++) {
                rig.configuration.publish(NodeRig.version(i));
                Thread.sleep(BURST_INTERVAL_MILLIS);
            }
            long lastPublishedAt = System.nanoTime();
            for (int i = 1; i <= 3; i++) {
                Node node = nodes[i];
                Await.until("last version of the burst", () -> versionInForce(node) == BURST_VERSIONS, rig::logText);
            }
            long millis = (System.nanoTime() - lastPublishedAt) / 1_000_000;
            assertTrue(millis < 1_500, "last version in force after " + millis + " ms");
            for (int i = 1; i <= 3; i++) {
                long installed = metric(nodes[i], "versions.installed");
                assertTrue(installed <= 14, installed + " versions installed at node " + i);
            }
        }
    }

    /** Guards against sending each version completely; an encoded version in this test has about 100 KB. */
    @Test
    void onlyChangesAreSentToNodeWithEarlierVersion() {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.start(1, Optional.empty());
            rig.start(2, Optional.empty());
            Node node3 = rig.start(3, Optional.empty());
            rig.awaitReady(3);
            for (int i = 2; i <= 6; i++) {
                long number = i;
                rig.configuration.publish(NodeRig.version(number));
                Await.until("version " + number, () -> versionInForce(node3) == number, rig::logText);
            }
            long bytes = metric(node3, "versions.fetched.bytes");
            assertTrue(bytes > 0 && bytes < 100_000, bytes + " bytes fetched for five versions");
        }
    }

    /**
     * Two nodes have different content for the same version number, so that a delta from that version cannot be
     * applied. Guards against requesting the same delta forever: the complete version must be fetched next.
     */
    @Test
    void fullVersionIsFetchedWhenDeltaDoesNotApply() throws IOException {
        byte[] fullDelta = VersionDeltaCodec.encode(new byte[0], InMemoryConfigurationStore.encodedVersion(6));
        byte[] divergentBase = InMemoryConfigurationStore.encodedVersion(1_000);
        byte[] mismatchedDelta = VersionDeltaCodec.encode(divergentBase, InMemoryConfigurationStore.encodedVersion(6));
        List<String> requestedBases = new CopyOnWriteArrayList<>();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (NodeRig rig = new NodeRig();
                DatagramSocket socket = new DatagramSocket(rig.gossipAddress(9))) {
            BufferedHttpServer.open((EventLoop) group.next(), rig.peerAddress(9), request -> {
                requestedBases.add(request.uri().substring(request.uri().indexOf('=') + 1));
                return BufferedHttpServer.Response.of(
                        "",
                        requestedBases.size() == 1 ? encodeWithBase(5, mismatchedDelta) : encodeWithBase(0, fullDelta));
            });
            rig.configuration.publish(NodeRig.version(5));
            rig.configuration.addUnpublished(NodeRig.version(6));
            Node node = rig.start(1, Optional.empty());
            Await.until("version 5", () -> versionInForce(node) == 5, rig::logText);
            announceVersionSix(rig, socket);
            Await.until("version 6", () -> versionInForce(node) == 6, rig::logText);
            assertEquals(List.of("5", "0"), requestedBases);
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static byte[] encodeWithBase(long baseNumber, byte[] delta) {
        return ByteBuffer.allocate(Long.BYTES + delta.length)
                .putLong(baseNumber)
                .put(delta)
                .array();
    }

    private static void announceVersionSix(NodeRig rig, DatagramSocket socket) throws IOException {
        NodeState state = new NodeState(
                7,
                1,
                "zone-a",
                100,
                6,
                true,
                false,
                "",
                "",
                BackendState.ABSENT,
                0,
                OwnerLoad.NONE,
                java.util.List.of());
        rig.sendStateToFirstNode(socket, state);
    }

    /** Guards against calls and datagrams being held up behind a complete version that is sent over a slow link. */
    @Test
    void fullVersionIsSentAtLinkRate() throws IOException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            rig.startWithLink(1, server, 1, SLOW_LINK_MBPS);
            rig.awaitReady(1);
            try (Socket connection = new Socket()) {
                connection.connect(rig.peerAddress(1));
                connection.setSoTimeout(10_000);
                long requestedAt = System.nanoTime();
                connection
                        .getOutputStream()
                        .write(("GET " + VersionUpdater.VERSION_PATH + "0 HTTP/1.1\r\n\r\n").getBytes(US_ASCII));
                String response = ResponseReader.read(connection.getInputStream());
                long millis = (System.nanoTime() - requestedAt) / 1_000_000;
                assertTrue(response.startsWith("HTTP/1.1 200") && !response.endsWith("[closed]"));
                assertTrue(
                        millis > response.length() * 8 / (1_000 * SLOW_LINK_MBPS) / 2,
                        response.length() + " bytes in " + millis + " ms");
            }
        }
    }
}
