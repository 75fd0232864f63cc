package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A response without a length is complete only if the server ended its stream, whatever else closes the connection. */
@Timeout(30)
class CloseDelimitedResponseTest {
    /** More than the buffers of both ends take, so that a part of the body is still to be written. */
    private static final int LARGE_BODY_BYTES = 32_000_000;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8_192;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** How the connection received a response. */
    private sealed interface Outcome {
        record Complete(String body) implements Outcome {}

        record Failed(String cause) implements Outcome {}
    }

    private static final class Recorder implements HttpResponseHandler {
        private final StringBuilder body = new StringBuilder();
        private final CompletableFuture<String> firstPart = new CompletableFuture<>();
        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf part) {
            body.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
            firstPart.complete(body.toString());
        }

        @Override
        public void onEnd() {
            outcome.complete(new Outcome.Complete(body.toString()));
        }

        @Override
        public void onFailure(String cause) {
            outcome.complete(new Outcome.Failed(cause));
        }
    }

    /** What the server does after it has sent the first half of its response. */
    @FunctionalInterface
    private interface Ending {
        void run(Socket socket) throws Exception;
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static ServerSocket listen() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listener;
    }

    private Outcome outcomeOf(int bodyBytes, Ending ending) throws Exception {
        Recorder recorder = new Recorder();
        try (ServerSocket listener = listen()) {
            sendTo(listener, bodyBytes, recorder);
            try (Socket socket = listener.accept()) {
                byte[] halfResponse = "HTTP/1.1 200 OK\r\n\r\nfirst half".getBytes(StandardCharsets.US_ASCII);
                socket.getOutputStream().write(halfResponse);
                recorder.firstPart.get(10, TimeUnit.SECONDS);
                ending.run(socket);
                return recorder.outcome.get(10, TimeUnit.SECONDS);
            }
        }
    }

    private void sendTo(ServerSocket listener, int bodyBytes, Recorder recorder) {
        EventLoop loop = (EventLoop) group.next();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/upload");
        HttpConnection.setContentLength(request, bodyBytes);
        RequestBody body = RequestBody.of(Unpooled.wrappedBuffer(new byte[bodyBytes]));
        loop.execute(() -> new ConnectionPool(loop, address, 1_000, 1_000_000_000L)
                .open(
                        connection -> connection.send(request, body, recorder),
                        cause -> recorder.onFailure("not connected: " + cause)));
    }

    /** Guards against a truncated response taken for complete: the write of the request meets the reset first. */
    @Test
    void resetWhileRequestBodyIsWrittenTruncates() throws Exception {
        Outcome outcome = outcomeOf(LARGE_BODY_BYTES, socket -> {
            socket.setSoLinger(true, 0);
            socket.close();
        });
        assertInstanceOf(Outcome.Failed.class, outcome, outcome::toString);
    }

    /** Guards against a truncated response taken for complete: a read meets the reset. */
    @Test
    void resetAfterRequestBodyTruncates() throws Exception {
        Outcome outcome = outcomeOf(10, socket -> {
            socket.setSoLinger(true, 0);
            socket.close();
        });
        assertInstanceOf(Outcome.Failed.class, outcome, outcome::toString);
    }

    @Test
    void endOfStreamCompletes() throws Exception {
        Outcome outcome = outcomeOf(10, socket -> {
            socket.getOutputStream().write(" and second".getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        });
        assertEquals(new Outcome.Complete("first half and second"), outcome);
    }

    /** A server may respond before it reads the body, and end its stream while it reads on. */
    @Test
    void endOfStreamWhileRequestBodyIsWrittenCompletes() throws Exception {
        Outcome outcome = outcomeOf(LARGE_BODY_BYTES, socket -> {
            socket.getOutputStream().write(" and second".getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        });
        assertEquals(new Outcome.Complete("first half and second"), outcome);
    }
}
