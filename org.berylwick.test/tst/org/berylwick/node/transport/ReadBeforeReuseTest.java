package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What has arrived on an idle connection, and was not read yet, is found when the connection is taken for a request.
 */
@Timeout(30)
class ReadBeforeReuseTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final long ARRIVAL_MILLIS = 100;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<ResponseFault> faults = new ArrayList<>();
    private ServerSocket listener;
    private ConnectionPool pool;

    private static final class Exchange implements HttpResponseHandler {
        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final Runnable onEnd;

        private Exchange(Runnable onEnd) {
            this.onEnd = onEnd;
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            onEnd.run();
            outcome.complete("complete");
        }

        @Override
        public void onFailure(String cause) {
            outcome.complete(cause);
        }
    }

    /** An action on the server's end of a connection. */
    @FunctionalInterface
    private interface ServerAction {
        void run(Socket socket) throws Exception;
    }

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        pool = new ConnectionPool(loop, address, 1_000, 10_000_000_000L).onResponseFault(faults::add);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws InterruptedException, ExecutionException, TimeoutException {
        return loop.submit(task).get(10, TimeUnit.SECONDS);
    }

    private Exchange open(Runnable onEnd) {
        Exchange exchange = new Exchange(onEnd);
        loop.execute(() -> pool.open(
                connection -> connection.send(
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        RequestBody.of(Unpooled.EMPTY_BUFFER),
                        exchange),
                exchange::onFailure));
        return exchange;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Socket openIdle() throws Exception {
        Exchange exchange = open(() -> {});
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        write(socket, RESPONSE);
        assertEquals("complete", exchange.outcome.get(10, TimeUnit.SECONDS));
        onLoop(() -> null);
        return socket;
    }

    private HttpConnection pollAfter(Socket socket, ServerAction action) throws Exception {
        return onLoop(() -> {
            action.run(socket);
            // The event loop is held meanwhile, so that it reads nothing by itself.
            Thread.sleep(ARRIVAL_MILLIS);
            return pool.pollIdle(Long.MAX_VALUE);
        });
    }

    @Test
    void unreadPartOfResponseMakesConnectionUnusable() throws Exception {
        try (Socket socket = openIdle()) {
            assertNull(pollAfter(socket, s -> write(s, "HTTP/1.1 200 O")));
            assertEquals(0, onLoop(pool::size));
            assertEquals(ResponseFault.Kind.UNEXPECTED, faults.get(0).kind());
            assertEquals(1, faults.size());
        }
    }

    @Test
    void unreadMegabyteMakesConnectionUnusable() throws Exception {
        try (Socket socket = openIdle()) {
            assertNull(pollAfter(
                    socket,
                    s -> Thread.ofPlatform().daemon(true).start(() -> {
                        try {
                            write(s, "x".repeat(1_000_000));
                        } catch (IOException e) {
                            // The pool has closed the connection.
                        }
                    })));
            assertEquals(0, onLoop(pool::size));
            assertEquals(1, faults.size());
        }
    }

    @Test
    void unreadEndOfStreamMakesConnectionUnusable() throws Exception {
        try (Socket socket = openIdle()) {
            assertNull(pollAfter(socket, Socket::shutdownOutput));
            assertEquals(0, onLoop(pool::size));
            assertEquals(0, faults.size());
        }
    }

    @Test
    void unreadResetMakesConnectionUnusable() throws Exception {
        try (Socket socket = openIdle()) {
            assertNull(pollAfter(socket, s -> {
                s.setSoLinger(true, 0);
                s.close();
            }));
            assertEquals(0, onLoop(pool::size));
        }
    }

    @Test
    void unreadBytesOfOneConnectionLeaveTheOther() throws Exception {
        try (Socket sound = openIdle();
                Socket other = openIdle()) {
            assertNotNull(pollAfter(other, s -> write(s, "x")));
            assertEquals(1, onLoop(pool::size));
            assertTrue(sound.isConnected());
        }
    }

    /** Guards against reads of one connection that disturb the read of another, within which they are made. */
    @Test
    void connectionIsTakenWithinTheReadOfAnother() throws Exception {
        try (Socket idle = openIdle()) {
            CompletableFuture<Boolean> taken = new CompletableFuture<>();
            Exchange exchange = open(() -> {
                try {
                    write(idle, "HTTP/1.1 200 O");
                    Thread.sleep(ARRIVAL_MILLIS);
                    taken.complete(pool.pollIdle(Long.MAX_VALUE) != null);
                } catch (IOException | InterruptedException e) {
                    taken.completeExceptionally(e);
                }
            });
            try (Socket socket = listener.accept()) {
                write(socket, RESPONSE);
                assertEquals("complete", exchange.outcome.get(10, TimeUnit.SECONDS));
                assertFalse(taken.get(10, TimeUnit.SECONDS));
                assertEquals(1, onLoop(pool::size));
                assertNotNull(onLoop(() -> pool.pollIdle(Long.MAX_VALUE)));
            }
        }
    }

    @Test
    void connectionStaysReadableAfterManyPolls() throws Exception {
        try (Socket socket = openIdle()) {
            int polls = 1_000;
            onLoop(() -> {
                for (int i = 0; i < polls; i++) {
                    pool.pollIdle(Long.MAX_VALUE).returnUnused();
                }
                return null;
            });
            write(socket, "x");
            long deadline = System.nanoTime() + 5_000_000_000L;
            while (onLoop(pool::size) > 0 && System.nanoTime() < deadline) {
                Thread.sleep(5);
            }
            assertEquals(0, onLoop(pool::size));
        }
    }
}
