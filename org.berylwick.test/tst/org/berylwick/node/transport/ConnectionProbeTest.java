package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.transport.ServerConnectionPool.ProbeResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a probe tells of the process that listens, or no longer does. */
class ConnectionProbeTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private ProbeResult probe(ServerSocket listener) throws Exception {
        EventLoop loop = (EventLoop) group.next();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        loop.execute(() -> new ConnectionPool(loop, address, 1_000, 1_000_000_000L).probe(result::complete));
        return result.get(10, TimeUnit.SECONDS);
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @Test
    void runningProcessListens() throws Exception {
        try (ServerSocket listener = listen()) {
            assertEquals(ProbeResult.LISTENING, probe(listener));
        }
    }

    @Test
    void endedProcessRefuses() throws Exception {
        ServerSocket listener = listen();
        listener.close();
        assertEquals(ProbeResult.REFUSED, probe(listener));
    }

    /** Guards against a process that is taken to run because it accepted a last connection while it was ending. */
    @Test
    void processThatEndsDuringTheProbeRefuses() throws Exception {
        ServerSocket listener = listen();
        Thread ending = Thread.ofPlatform().start(() -> {
            try {
                Socket accepted = listener.accept();
                listener.close();
                accepted.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertEquals(ProbeResult.REFUSED, probe(listener));
        ending.join();
    }
}
