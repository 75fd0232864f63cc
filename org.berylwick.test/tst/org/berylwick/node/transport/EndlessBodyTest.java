package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a process that runs out of memory: a server responds with a body without end, and all of it is kept
 * until the timeout of the call.
 */
@Timeout(60)
class EndlessBodyTest {
    private static final int MAX_BODY_BYTES = 100_000;
    /** What may be written beyond the limit: the buffers of the sockets and one read. */
    private static final long MAX_UNREAD_BYTES = 16 << 20;

    private static final int CALL_TIMEOUT_MILLIS = 3_000;
    private static final String PART = "x".repeat(65_536);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong writtenBytes = new AtomicLong();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void respondWithoutEnd(RawServer.Connection connection, String head, String part) throws IOException {
        connection.write(head);
        while (true) {
            connection.write(part);
            writtenBytes.addAndGet(part.length());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000000000000\r\n"})
    void endlessBodyEndsTheCall(String framing) throws Exception {
        String part = framing.startsWith("Transfer") ? "10000\r\n" + PART + "\r\n" : PART;
        try (RawServer server = new RawServer((connection, request) ->
                respondWithoutEnd(connection, "HTTP/1.1 200 OK\r\n" + framing + "\r\n", part))) {
            EventLoop loop = (EventLoop) group.next();
            InetSocketAddress address =
                    new InetSocketAddress("127.0.0.1", server.address().port());
            ConnectionPool pool = new ConnectionPool(loop, address, 1_000, 1_000_000_000L);
            CompletableFuture<BufferedHttpCall.Result> result = new CompletableFuture<>();
            loop.execute(() -> BufferedHttpCall.start(
                    loop,
                    pool,
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                    new byte[0],
                    CALL_TIMEOUT_MILLIS,
                    MAX_BODY_BYTES,
                    result::complete));
            BufferedHttpCall.Result ended = result.get(30, TimeUnit.SECONDS);
            assertInstanceOf(BufferedHttpCall.Result.Failed.class, ended);
            assertTrue(writtenBytes.get() < MAX_UNREAD_BYTES, writtenBytes + " bytes written");
        }
    }
}
