package org.berylwick.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramSocket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.VersionDeltaCodec;
import org.berylwick.testing.Await;

/** A node of a {@link NodeRig} without a backend server, simulated on sockets, that has a version for node 1. */
final class VersionPeer implements AutoCloseable {
    private static final int LINK_MBPS = 100;

    private final NodeRig rig;
    private final String zone;
    private final DatagramSocket gossipSocket;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger requests = new AtomicInteger();
    private long sequence;
    private long version;
    private boolean held;

    VersionPeer(NodeRig rig, int number, String zone) throws IOException {
        this.rig = rig;
        this.zone = zone;
        this.gossipSocket = new DatagramSocket(rig.gossipAddress(number));
        BufferedHttpServer.open((EventLoop) group.next(), rig.peerAddress(number), request -> {
            requests.incrementAndGet();
            return BufferedHttpServer.Response.of("", awaitVersion());
        });
    }

    private synchronized byte[] awaitVersion() {
        while (held) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return new byte[0];
            }
        }
        byte[] delta = VersionDeltaCodec.encode(new byte[0], InMemoryConfigurationStore.encodedVersion(version));
        return ByteBuffer.allocate(Long.BYTES + delta.length)
                .putLong(0)
                .put(delta)
                .array();
    }

    /** Tells node 1 that a version is in force here. */
    synchronized void announce(long number) throws IOException {
        version = number;
        NodeState state = new NodeState(
                7,
                ++sequence,
                zone,
                LINK_MBPS,
                number,
                true,
                false,
                "",
                "",
                BackendState.ABSENT,
                0,
                OwnerLoad.NONE,
                List.of());
        rig.sendStateToFirstNode(gossipSocket, state);
    }

    /** Makes requests for the version wait. */
    synchronized void hold() {
        held = true;
    }

    /** Responds to the requests that wait. */
    synchronized void release() {
        held = false;
        notifyAll();
    }

    /** Waits until node 1 has asked for the version. */
    void awaitRequest() {
        Await.until("request for the version", () -> requests.get() > 0, rig::logText);
    }

    @Override
    public void close() {
        release();
        gossipSocket.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
