package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.testing.RawServer;

/**
 * Requests of one connection, framed in all ways and split anywhere: each response belongs to its request, they come in
 * order, and no request runs twice.
 */
class PipelineFramingTest {
    private static final int SLOTS = 40;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int MAX_PAUSE_MILLIS = 6;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int STREAMED_BODY_BYTES = 20_000;
    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private static RawServer server;
    private static NodeRig rig;

    /** Form of a request. */
    enum Form {
        GET,
        GET_WITH_BODY,
        GET_CHUNKED,
        HEAD,
        GET_STREAMED,
        POST_ONCE,
        POST_ONCE_CHUNKED,
        NO_ROUTE,
        CLOSE,
        MALFORMED;

        /** Whether the connection is closed after the response. */
        boolean closes() {
            return this == CLOSE || this == MALFORMED;
        }
    }

    private record Sent(Form form, String id, String body) {
        static Sent of(Form form, Random random) {
            int length = switch (form) {
                case GET_STREAMED -> STREAMED_BODY_BYTES;
                case GET_WITH_BODY, GET_CHUNKED, POST_ONCE, POST_ONCE_CHUNKED -> random.nextInt(300);
                default -> 0;
            };
            return new Sent(form, "f" + NEXT_ID.incrementAndGet(), "b".repeat(length));
        }

        String bytes() {
            return switch (form) {
                case GET, GET_WITH_BODY, GET_STREAMED -> withLength("GET", "/long/x");
                case HEAD -> withLength("HEAD", "/long/x");
                case POST_ONCE -> withLength("POST", "/once/x");
                case GET_CHUNKED -> chunked("GET", "/long/x");
                case POST_ONCE_CHUNKED -> chunked("POST", "/once/x");
                case NO_ROUTE -> withLength("GET", "/nowhere/x");
                case CLOSE -> withLength("GET", "/long/x").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                case MALFORMED -> "GET /long/x HTTP/1.1\r\nContent-Length: 1x\r\nx-request-id: " + id + "\r\n\r\n";
            };
        }

        private String withLength(String method, String path) {
            return NodeRig.request(method, path, id, DEADLINE_MILLIS, body);
        }

        private String chunked(String method, String path) {
            String head = withLength(method, path);
            int half = body.length() / 2;
            return head.substring(0, head.indexOf("Content-Length")) + "Transfer-Encoding: chunked\r\n\r\n"
                    + chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n";
        }

        private static String chunk(String part) {
            return part.isEmpty() ? "" : Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
        }

        void assertIsAnsweredBy(String response) {
            switch (form) {
                case MALFORMED -> assertTrue(response.startsWith("HTTP/1.1 400"), response);
                case NO_ROUTE -> assertTrue(response.startsWith("HTTP/1.1 404"), response);
                case HEAD ->
                    assertTrue(
                            response.startsWith("HTTP/1.1 200") && response.contains("x-of: " + id + "\r"), response);
                default ->
                    assertTrue(
                            response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n" + id + " " + body.length()),
                            response);
            }
        }
    }

    @BeforeContainer
    static void start() {
        Random random = new Random(1);
        server = new RawServer((connection, request) -> {
            String length = request.header("content-length");
            int received = connection.read(length.isEmpty() ? 0 : Integer.parseInt(length)).length;
            NodeRig.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            String body = request.method().equals("HEAD") ? "" : request.id() + " " + received;
            connection.write(NodeRig.responseTo(request, body)
                    .replace("x-signature", "x-of: " + request.id() + "\r\nx-signature"));
        });
        rig = new NodeRig();
        rig.configuration.publish(NodeRig.version(
                1,
                b -> b.route(NodeRig.HOST, route("long", RouteKind.IDEMPOTENT))
                        .route(NodeRig.HOST, route("once", RouteKind.NON_IDEMPOTENT))));
        rig.start(1, "zone-a", Optional.of(server), SLOTS);
        rig.awaitReady(1);
    }

    private static Route route(String name, RouteKind kind) {
        return NodeRig.route(name, "/" + name + "/", kind, DEADLINE_MILLIS, DEADLINE_MILLIS);
    }

    @AfterContainer
    static void stop() {
        rig.close();
        server.close();
    }

    /** Guards against responses out of order or to other requests, and requests that run twice, however they arrive. */
    @Property(tries = 120)
    void eachResponseBelongsToItsRequest(
            @ForAll @Size(min = 1, max = 24) List<Form> forms,
            @ForAll @IntRange(min = 1, max = 4_000) int packetBytes,
            @ForAll long seed)
            throws IOException {
        Random random = new Random(seed);
        List<Sent> requests = new ArrayList<>();
        forms.forEach(form -> requests.add(Sent.of(form, random)));
        assertAnsweredInOrder(requests, bytes -> 1 + random.nextInt(packetBytes));
    }

    /** Guards against a state of the parser that depends on where the packets of a connection begin. */
    @Example
    void splitAtEveryByte() throws IOException {
        List<Form> forms = List.of(Form.GET_CHUNKED, Form.POST_ONCE, Form.GET, Form.MALFORMED, Form.GET);
        int length = bytesOf(requestsOf(forms)).length;
        for (int i = 1; i < length; i++) {
            int splitAt = i;
            assertAnsweredInOrder(requestsOf(forms), sent -> sent < splitAt ? splitAt - sent : Integer.MAX_VALUE);
        }
    }

    /** Guards against requests of one packet of which only the first is processed. */
    @Example
    void oneBytePerPacketAndAllInOne() throws IOException {
        List<Form> forms =
                List.of(Form.GET, Form.GET_CHUNKED, Form.HEAD, Form.POST_ONCE_CHUNKED, Form.NO_ROUTE, Form.GET);
        assertAnsweredInOrder(requestsOf(forms), sent -> 1);
        assertAnsweredInOrder(requestsOf(forms), sent -> Integer.MAX_VALUE);
    }

    private static List<Sent> requestsOf(List<Form> forms) {
        Random random = new Random(forms.size());
        return forms.stream().map(form -> Sent.of(form, random)).toList();
    }

    private static byte[] bytesOf(List<Sent> requests) {
        StringBuilder text = new StringBuilder();
        requests.forEach(request -> text.append(request.bytes()));
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Determines the size of the next packet from the number of bytes sent before. */
    private interface Packets {
        int nextBytes(int sent);
    }

    private static void assertAnsweredInOrder(List<Sent> requests, Packets packets) throws IOException {
        try (Socket caller = new Socket()) {
            caller.setTcpNoDelay(true);
            caller.connect(rig.callerAddress(1));
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> send(caller, bytesOf(requests), packets));
            int answered = 0;
            boolean closed = false;
            while (answered < requests.size() && !closed) {
                Sent request = requests.get(answered++);
                request.assertIsAnsweredBy(ResponseReader.read(caller.getInputStream()));
                closed = request.form().closes();
            }
            if (closed) {
                assertEquals(-1, caller.getInputStream().read(), "bytes after the response that closes");
            }
            awaitSent(sent, closed);
            for (int i = 0; i < requests.size(); i++) {
                Form form = requests.get(i).form();
                boolean runs = i < answered && form != Form.MALFORMED && form != Form.NO_ROUTE;
                assertEquals(runs ? 1 : 0, server.runs(requests.get(i).id()), "runs of request " + i + " " + form);
            }
        }
    }

    private static void send(Socket caller, byte[] bytes, Packets packets) {
        try {
            OutputStream out = caller.getOutputStream();
            for (int sent = 0; sent < bytes.length; ) {
                int length = Math.min(packets.nextBytes(sent), bytes.length - sent);
                out.write(bytes, sent, length);
                sent += length;
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitSent(CompletableFuture<Void> sent, boolean closed) {
        try {
            sent.join();
        } catch (CompletionException e) {
            assertTrue(closed, "the node closed the connection: " + e);
        }
    }
}
