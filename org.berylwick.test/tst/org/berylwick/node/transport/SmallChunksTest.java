package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a process that runs out of memory within its limits of buffered bytes: a server sends a body in chunks
 * of one byte, and each of them is kept as an object of its own, together with the buffer that it was read into.
 */
@Timeout(60)
class SmallChunksTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1\r\nx\r\n";
    private static final String END = "0\r\n\r\n";
    private static final int CHUNKS = 2_000;
    /** Capacity of the smallest buffer that a connection reads into. */
    private static final int READ_BUFFER_BYTES = 2_048;

    private static final int MAX_KEPT_BYTES_PER_PART = 256;

    /** Keeps all parts of a response. */
    private static final class Recorder implements HttpResponseHandler, HttpConnection.Listener {
        private final List<ByteBuf> parts = new ArrayList<>();
        private boolean ended;

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf part) {
            parts.add(part);
        }

        @Override
        public void onEnd() {
            ended = true;
        }

        @Override
        public void onFailure(String cause) {
            throw new AssertionError(cause);
        }

        @Override
        public void onIdle(HttpConnection connection) {}

        @Override
        public void onClosed(HttpConnection connection) {}

        @Override
        public void onFault(ResponseFault fault) {}

        private String body() {
            StringBuilder body = new StringBuilder();
            parts.forEach(part -> body.append(part.toString(StandardCharsets.US_ASCII)));
            return body.toString();
        }

        /** Returns the capacity of all buffers that the parts keep from being collected. */
        private long keptBytes() {
            Set<ByteBuf> buffers = Collections.newSetFromMap(new IdentityHashMap<>());
            for (ByteBuf part : parts) {
                ByteBuf buffer = part;
                while (buffer.unwrap() != null) {
                    buffer = buffer.unwrap();
                }
                buffers.add(buffer);
            }
            return buffers.stream().mapToLong(ByteBuf::capacity).sum();
        }
    }

    private static Recorder receive(List<String> reads) {
        Recorder recorder = new Recorder();
        EmbeddedChannel channel = new EmbeddedChannel();
        EndOfStream endOfStream = new EndOfStream();
        ResponseDecoder decoder = new ResponseDecoder();
        HttpConnection connection =
                new HttpConnection(channel, new InetSocketAddress(1), endOfStream, decoder, recorder);
        channel.pipeline().addLast(endOfStream, new HttpRequestEncoder(), decoder, connection);
        connection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                recorder);
        for (String read : reads) {
            ByteBuf buffer = Unpooled.buffer(READ_BUFFER_BYTES);
            buffer.writeCharSequence(read, StandardCharsets.US_ASCII);
            channel.writeInbound(buffer);
        }
        channel.releaseOutbound();
        channel.finishAndReleaseAll();
        return recorder;
    }

    @Test
    void chunksOfOneReadAreJoined() {
        Recorder recorder = receive(List.of(HEAD, CHUNK.repeat(CHUNKS), CHUNK + END));
        assertTrue(recorder.ended);
        assertEquals("x".repeat(CHUNKS + 1), recorder.body());
        assertTrue(recorder.parts.size() < 5, recorder.parts.size() + " parts");
    }

    @Test
    void chunkDoesNotKeepTheBufferOfItsRead() {
        List<String> reads = new ArrayList<>(List.of(HEAD));
        reads.addAll(Collections.nCopies(CHUNKS, CHUNK));
        reads.add(END);
        Recorder recorder = receive(reads);
        assertTrue(recorder.ended);
        assertEquals("x".repeat(CHUNKS), recorder.body());
        long keptPerPart = recorder.keptBytes() / recorder.parts.size();
        assertTrue(keptPerPart <= MAX_KEPT_BYTES_PER_PART, keptPerPart + " bytes kept per part");
    }

    @Test
    void partsOfAllSizesAreDeliveredInOrder() {
        List<String> reads = new ArrayList<>(List.of(HEAD));
        StringBuilder body = new StringBuilder();
        for (int size : new int[] {1, 600, 3, 511, 512, 9_000, 2, 8_191, 100, 100, 20_000, 1}) {
            String part = Character.toString('a' + size % 26).repeat(size);
            reads.add(Integer.toHexString(size) + "\r\n" + part + "\r\n");
            body.append(part);
        }
        Recorder whole = receive(List.of(String.join("", reads) + END));
        reads.add(END);
        Recorder inReads = receive(reads);
        assertEquals(body.toString(), whole.body());
        assertEquals(body.toString(), inReads.body());
    }
}
