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
import org.berylwick.node.version.VersionKeeper;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Versions come to nodes that do not watch the store, at a cost that a narrow link and a slow core can bear. */
@Timeout(60)
class VersionSpreadTest {
    private static final int NARROW_MBPS = 2;
    private static final int BURST = 40;
    private static final int GAP_MILLIS = 25;

    private static long inForce(Node node) {
        return value(node, "version.in_force");
    }

    private static long value(Node node, String name) {
        for (String line : node.counters().render().split("\n")) {
            String[] words = line.split("[ :=]+");
            if (words[0].equals(name)) {
                return Long.parseLong(words[1]);
            }
        }
        throw new IllegalStateException("there is no " + name);
    }

    /** Before, each of the 40 versions of a second was parsed by each node. */
    @Test
    void ofABurstOnlySomeVersionsAreInstalledAndTheLastOneSoon() throws InterruptedException {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node[] nodes = new Node[4];
            for (int i = 1; i <= 3; i++) {
                nodes[i] = rig.start(i, Optional.empty());
            }
            rig.awaitReady(3);
            Await.until("the first version everywhere", () -> inForce(nodes[3]) == 1, rig::logged);
            Thread.sleep(300);
            for (int i = 2; i <= BURST; i++) {
                rig.configuration.accept(NodeRig.version(i));
                Thread.sleep(GAP_MILLIS);
            }
            long before = System.nanoTime();
            for (int i = 1; i <= 3; i++) {
                Node node = nodes[i];
                Await.until("the last version", () -> inForce(node) == BURST, rig::logged);
            }
            long millis = (System.nanoTime() - before) / 1_000_000;
            assertTrue(millis < 1_500, "in force after " + millis + " ms");
            for (int i = 1; i <= 3; i++) {
                long installed = value(nodes[i], "versions.installed");
                assertTrue(installed <= 14, installed + " versions installed at node " + i);
            }
        }
    }

    /** A version is 100 KB here; before, each of them was sent whole. */
    @Test
    void onlyWhatChangedIsSent() {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            rig.start(1, Optional.empty());
            rig.start(2, Optional.empty());
            Node third = rig.start(3, Optional.empty());
            rig.awaitReady(3);
            for (int i = 2; i <= 6; i++) {
                long number = i;
                rig.configuration.accept(NodeRig.version(number));
                Await.until("version " + number, () -> inForce(third) == number, rig::logged);
            }
            long bytes = value(third, "versions.fetched.bytes");
            assertTrue(bytes > 0 && bytes < 100_000, bytes + " bytes fetched for five versions");
        }
    }

    /**
     * Two nodes have other bytes under the number of one version, so that what changed since does not fit. The whole is
     * asked for next; the same question again would be answered with the same, without end.
     */
    @Test
    void versionThatDoesNotFitIsAskedForWhole() throws IOException {
        byte[] whole = VersionDeltaCodec.encode(new byte[0], MemoryConfiguration.sourceOf(6));
        byte[] other = MemoryConfiguration.sourceOf(1_000);
        byte[] changed = VersionDeltaCodec.encode(other, MemoryConfiguration.sourceOf(6));
        List<String> asked = new CopyOnWriteArrayList<>();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (NodeRig rig = new NodeRig();
                DatagramSocket socket = new DatagramSocket(rig.gossip(9))) {
            BufferedHttpServer.open((EventLoop) group.next(), rig.peers(9), q -> {
                asked.add(q.uri().substring(q.uri().indexOf('=') + 1));
                return BufferedHttpServer.Response.of(
                        "", asked.size() == 1 ? delivery(5, changed) : delivery(0, whole));
            });
            rig.configuration.accept(NodeRig.version(5));
            rig.configuration.keep(NodeRig.version(6));
            Node node = rig.start(1, Optional.empty());
            Await.until("version 5", () -> inForce(node) == 5, rig::logged);
            tell(rig, socket);
            Await.until("version 6", () -> inForce(node) == 6, rig::logged);
            assertEquals(List.of("5", "0"), asked);
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static byte[] delivery(long base, byte[] delta) {
        return ByteBuffer.allocate(Long.BYTES + delta.length)
                .putLong(base)
                .put(delta)
                .array();
    }

    private static void tell(NodeRig rig, DatagramSocket socket) throws IOException {
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
        rig.tellFirst(socket, state);
    }

    /** Guards against calls and datagrams that wait behind a whole version on a narrow link. */
    @Test
    void wholeVersionLeavesAtTheLinksPace() throws IOException {
        try (RawServer server = new RawServer(NodeRig::answerOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            rig.startOnLink(1, server, 1, NARROW_MBPS);
            rig.awaitReady(1);
            try (Socket node = new Socket()) {
                node.connect(rig.peers(1));
                node.setSoTimeout(10_000);
                long askedAt = System.nanoTime();
                node.getOutputStream()
                        .write(("GET " + VersionKeeper.VERSION_PATH + "0 HTTP/1.1\r\n\r\n").getBytes(US_ASCII));
                String answer = NodeRig.readAnswer(node.getInputStream());
                long millis = (System.nanoTime() - askedAt) / 1_000_000;
                assertTrue(answer.startsWith("HTTP/1.1 200") && !answer.endsWith("[closed]"));
                assertTrue(
                        millis > answer.length() * 8 / (1_000 * NARROW_MBPS) / 2,
                        answer.length() + " bytes in " + millis + " ms");
            }
        }
    }
}
