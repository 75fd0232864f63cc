package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.Event;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node is stopped while requests and responses are still being transferred. */
@Timeout(60)
class StopTest {
    /** Small enough that the entry node buffers the complete response before it forwards it. */
    private static final int RESPONSE_BYTES = 1_000_000;
    /** So many responses exceed the socket buffers of a connection whose peer does not read. */
    private static final int RESPONSE_COUNT = 8;

    private static final double SLOW_LINK_MBPS = 30;
    private static final int FAST_LINK_MBPS = 1_000;
    private static final int PACED_RESPONSE_BYTES = 4_500_000;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    /** Longer than a stop takes without pending requests. */
    private static final int PAUSE_MILLIS = 4_000;

    /** Duration of a request that outlasts the grace period. */
    private static final int HANG_MILLIS = 12_000;

    private static final int RUN_MILLIS = 1_000;
    /** Time after the start of the stop, shortly before the end of the grace period. */
    private static final int LATE_IN_GRACE_MILLIS = 5_000;

    /** Less than a stop that waits until callers have been routed to other nodes. */
    private static final int LONGEST_STOP_WITHOUT_CALLERS_MILLIS = 2_000;

    /** Time for which a JVM waits for its threads at its end. */
    private static final int MAX_EXIT_MILLIS = 300;

    private static final int CALLERS = 4;
    private static final int PASS_MILLIS = 400;
    /** A request that crosses the end of its connection may go unanswered. */
    private static final int MAX_CROSSING_MILLIS = 200;

    /** Later in a stop, callers have been routed to other nodes. */
    private static final int LATE_MILLIS = 3_000;

    private static final int LATE_CALLERS = 24;
    private static final int WARM_UP_MILLIS = 2_000;
    private static final int SHORT_RUN_MILLIS = 300;
    private static final int LONG_RUN_MILLIS = 2_500;
    private static final int LONG_RUN_INTERVAL = 6;

    private static final String LARGE_BODY = "x".repeat(RESPONSE_BYTES);

    private static int countCompleteResponsesAfterPause(Socket caller) {
        NodeRig.sleep(PAUSE_MILLIS);
        int complete = 0;
        try {
            while (complete < RESPONSE_COUNT
                    && ResponseReader.read(caller.getInputStream()).endsWith(LARGE_BODY)) {
                complete++;
            }
        } catch (IOException e) {
            return complete;
        }
        return complete;
    }

    /**
     * Guards against a process that exits with a response still in its buffers, so that the caller gets it truncated.
     */
    @Test
    void responseToASlowCallerIsSentBeforeTheStopEnds() throws IOException {
        try (RawServer server = new RawServer((c, r) -> c.write(NodeRig.responseTo(r, LARGE_BODY)));
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node node = rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            try (Socket caller = new Socket()) {
                caller.connect(rig.callerAddress(1));
                caller.setSoTimeout(20_000);
                for (int i = 0; i < RESPONSE_COUNT; i++) {
                    caller.getOutputStream()
                            .write(NodeRig.request("GET", "/read/x", "s" + i, 2_000, "")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                }
                String lastId = "s" + (RESPONSE_COUNT - 1);
                Await.until("all requests reach the backend server", () -> server.runs(lastId) == 1, rig::logText);
                CompletableFuture<Integer> completeCount =
                        CompletableFuture.supplyAsync(() -> countCompleteResponsesAfterPause(caller));
                NodeRig.sleep(500);
                node.stop();
                node.close();
                assertEquals(RESPONSE_COUNT, completeCount.join());
            }
        }
    }

    /**
     * Guards against a request that is accepted shortly before the grace period ends, and gets neither a response nor a
     * refusal.
     */
    @Test
    void requestJustBeforeTheGracePeriodEndsIsRefused() {
        RawServer.Script script = (c, r) -> {
            NodeRig.sleep(r.path().startsWith("/hang/") ? HANG_MILLIS : RUN_MILLIS);
            NodeRig.respondOk(c, r);
        };
        try (RawServer localServer = new RawServer(script);
                RawServer remoteServer = new RawServer(script);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(
                    1,
                    b -> b.route(
                            NodeRig.HOST, NodeRig.route("hang", "/hang/", RouteKind.NON_IDEMPOTENT, HANG_MILLIS))));
            Node node = rig.start(1, Optional.of(localServer));
            rig.awaitReady(1);
            CompletableFuture.runAsync(() -> rig.send(1, NodeRig.request("POST", "/hang/x", "h1", HANG_MILLIS, "")));
            Await.until("the request hangs at the backend server", () -> localServer.runs("h1") == 1, rig::logText);
            rig.start(2, Optional.of(remoteServer));
            rig.awaitMemberKnown("i-2");
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
                node.stop();
                node.close();
            });
            NodeRig.sleep(LATE_IN_GRACE_MILLIS);
            String response = rig.call(1, "GET", "/read/x", "r1", "");
            assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
            assertEquals(0, remoteServer.runs("r1"));
            stopped.join();
        }
    }

    /**
     * Guards against a caller whose connection ends without a response because the owner did not complete its response
     * within the grace period.
     */
    @Test
    void callerGetsAResponseWhenItsOwnerExceedsTheGracePeriod() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(versionWithSlowRoute());
                ScriptedPeer owner = ScriptedPeer.startAnnounced(rig, FAST_LINK_MBPS)) {
            CompletableFuture<String> response = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/slow/x", "w1", HANG_MILLIS, "")));
            try (ScriptedPeer.Connection connection = owner.accept()) {
                connection.readHead();
                connection.beginResponse("w1", RESPONSE_BYTES);
                rig.node(1).stop();
                rig.node(1).close();
                assertTrue(response.join().startsWith("HTTP/1.1 502"), response.join());
            }
        }
    }

    /**
     * Guards against a request that is cut off by the end of the process, because its body is still being received when
     * all other requests have ended.
     */
    @Test
    void requestWithIncompleteBodyIsAnsweredBeforeTheStopEnds() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(1));
                Socket caller = new Socket()) {
            caller.connect(rig.callerAddress(1));
            caller.setSoTimeout(20_000);
            String request = NodeRig.request("POST", "/pay/x", "u1", 9_000, "body");
            String firstPart = request.substring(0, request.length() - 2);
            caller.getOutputStream().write(firstPart.getBytes(StandardCharsets.ISO_8859_1));
            NodeRig.sleep(200);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
                rig.node(1).stop();
                rig.node(1).close();
            });
            NodeRig.sleep(PAUSE_MILLIS);
            caller.getOutputStream().write(request.substring(firstPart.length()).getBytes(StandardCharsets.ISO_8859_1));
            String response = ResponseReader.read(caller.getInputStream());
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            stopped.join();
        }
    }

    /** Guards against an owner that produces a response after its stopping entry node can no longer forward it. */
    @Test
    void stoppingEntryLimitsTheDeadlineSentToTheOwner() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(versionWithSlowRoute());
                ScriptedPeer owner = ScriptedPeer.startAnnounced(rig, FAST_LINK_MBPS)) {
            CompletableFuture<Void> stopped =
                    CompletableFuture.runAsync(() -> rig.node(1).stop());
            Await.until("the node begins to stop", () -> rig.logText().contains(Event.STOPPING.name()), rig::logText);
            CompletableFuture<String> response = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/slow/x", "w2", HANG_MILLIS, "")));
            try (ScriptedPeer.Connection connection = owner.accept()) {
                int deadlineMillis = ScriptedPeer.Connection.remainingMillis(connection.readHead());
                assertTrue(deadlineMillis < NodeRig.GRACE_PERIOD_MILLIS, "owner was given " + deadlineMillis + " ms");
                connection.respond("w2", "in time");
                assertTrue(response.join().endsWith("in time"), response.join());
            }
            stopped.join();
        }
    }

    /** Guards against a process that is killed because it begins to stop late and still uses its whole grace period. */
    @Test
    void stopOnABusyEventLoopLeavesTimeForTheEndOfTheProcess() throws IOException {
        try (NodeRig rig = NodeRig.withEntryNode(NodeRig.version(1));
                Socket caller = new Socket()) {
            caller.connect(rig.callerAddress(1));
            String request = NodeRig.request("POST", "/pay/x", "b1", 9_000, "body");
            caller.getOutputStream()
                    .write(request.substring(0, request.length() - 2).getBytes(StandardCharsets.ISO_8859_1));
            NodeRig.sleep(200);
            Node node = rig.node(1);
            node.loop().execute(() -> NodeRig.sleep(PASS_MILLIS));
            long startedAt = System.nanoTime();
            node.stop();
            long stopMillis = (System.nanoTime() - startedAt) / 1_000_000;
            assertTrue(
                    stopMillis <= NodeRig.GRACE_PERIOD_MILLIS - MAX_EXIT_MILLIS, "the stop took " + stopMillis + " ms");
        }
    }

    /** Guards against callers who connect to a process that has already been asked to stop. */
    @Test
    void nodeThatIsStoppedDuringItsStartOpensNoPortForCallers() {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node node = rig.create(1, "zone-a", Optional.empty());
            long startedAt = System.nanoTime();
            node.stop();
            long stopMillis = (System.nanoTime() - startedAt) / 1_000_000;
            node.start();
            String response = rig.call(1, "GET", "/read/x", "n1", "");
            assertTrue(response.startsWith("connection failed"), response);
            assertTrue(stopMillis < LONGEST_STOP_WITHOUT_CALLERS_MILLIS, "the stop took " + stopMillis + " ms");
        }
    }

    /**
     * Guards against requests that are cut off unread because they arrive while the event loop is busy, just before the
     * port for callers is closed.
     */
    @Test
    void requestsThatArriveDuringALongPassOfTheEventLoopAreAnswered() throws InterruptedException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node node = rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            ConcurrentLinkedQueue<String> cutOff = new ConcurrentLinkedQueue<>();
            List<Thread> callers = IntStream.range(0, CALLERS)
                    .mapToObj(i -> Thread.ofVirtual().start(() -> callUntilRefused(rig, "c" + i, cutOff)))
                    .toList();
            lengthenPasses(node.loop());
            node.stop();
            node.close();
            for (Thread caller : callers) {
                caller.join();
            }
            assertEquals(List.of(), List.copyOf(cutOff));
        }
    }

    /** Keeps the event loop busy in each pass, between what it reads and the other tasks that are due. */
    private static void lengthenPasses(EventLoop loop) {
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> lengthenPasses(loop), 0, TimeUnit.NANOSECONDS);
            NodeRig.sleep(PASS_MILLIS);
        }
    }

    private static void callUntilRefused(NodeRig rig, String caller, Queue<String> cutOff) {
        for (int i = 0; ; i++) {
            long sentAt = System.nanoTime();
            String response = rig.call(1, "GET", "/read/x", caller + "-" + i, "");
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (!response.startsWith("HTTP/1.1") || response.endsWith("[closed]")) {
                if (millis > MAX_CROSSING_MILLIS) {
                    cutOff.add(caller + "-" + i + " after " + millis + " ms: " + response);
                }
                return;
            }
        }
    }

    /**
     * Guards against a request that is passed on late in the grace period, and cut at its end while the backend server
     * is at work on it. Most requests are short; some take longer than is left.
     */
    @ParameterizedTest
    @ValueSource(strings = {"POST", "GET"})
    void requestsLateInTheGracePeriodAreAnsweredOrRefused(String method) {
        AtomicInteger runs = new AtomicInteger();
        RawServer.Script script = (connection, request) -> {
            boolean isLong = runs.incrementAndGet() % LONG_RUN_INTERVAL == 0;
            NodeRig.sleep(isLong ? LONG_RUN_MILLIS : SHORT_RUN_MILLIS);
            NodeRig.respondOk(connection, request);
        };
        try (RawServer localServer = new RawServer((c, r) -> {
                    NodeRig.sleep(HANG_MILLIS);
                    NodeRig.respondOk(c, r);
                });
                RawServer remoteServer = new RawServer(script);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(
                    1,
                    b -> b.route(NodeRig.HOST, NodeRig.route("hang", "/hang/", RouteKind.NON_IDEMPOTENT, HANG_MILLIS))
                            .route(NodeRig.HOST, NodeRig.route("late", "/late/", kindOf(method), HANG_MILLIS))));
            Node node = rig.start(1, "zone-a", Optional.of(localServer), 1);
            rig.awaitReady(1);
            // A request that keeps the port for callers open until the end of the grace period.
            CompletableFuture.runAsync(() -> rig.send(1, NodeRig.request("POST", "/hang/x", "h1", HANG_MILLIS, "")));
            Await.until("the request hangs at the backend server", () -> localServer.runs("h1") == 1, rig::logText);
            rig.start(2, "zone-a", Optional.of(remoteServer), 64);
            rig.awaitMemberKnown("i-2");
            LateCallers callers = new LateCallers(rig, remoteServer, method);
            NodeRig.sleep(WARM_UP_MILLIS);
            callers.onStopStarted();
            node.stop();
            callers.onStopEnded();
            node.close();
            NodeRig.sleep(MAX_EXIT_MILLIS);
            assertEquals(List.of(), callers.cutRequests());
        }
    }

    private static RouteKind kindOf(String method) {
        return method.equals("GET") ? RouteKind.IDEMPOTENT : RouteKind.NON_IDEMPOTENT;
    }

    /** Callers that send requests in series, each on a new connection, until the node has stopped. */
    private static final class LateCallers {
        private final NodeRig rig;
        private final RawServer server;
        private final String method;
        private final Map<String, Long> sentAtById = new ConcurrentHashMap<>();
        private final Map<String, String> responseById = new ConcurrentHashMap<>();
        private volatile long stopStartedAt;
        private volatile long stopEndedAt;

        private LateCallers(NodeRig rig, RawServer server, String method) {
            this.rig = rig;
            this.server = server;
            this.method = method;
            for (int i = 0; i < LATE_CALLERS; i++) {
                String name = "late-" + i + "-";
                Thread.ofVirtual().start(() -> callInSeries(name));
            }
        }

        private void callInSeries(String name) {
            for (int i = 0; stopEndedAt == 0; i++) {
                String id = name + i;
                sentAtById.put(id, System.nanoTime());
                String response = rig.send(1, NodeRig.request(method, "/late/x", id, HANG_MILLIS, ""));
                responseById.put(id, response.lines().findFirst().orElse(""));
            }
        }

        private void onStopStarted() {
            stopStartedAt = System.nanoTime();
        }

        private void onStopEnded() {
            stopEndedAt = System.nanoTime();
        }

        /** Returns the late requests that ran without a response from the backend server, or that got no response. */
        private List<String> cutRequests() {
            long from = stopStartedAt + LATE_MILLIS * 1_000_000L;
            long to = stopEndedAt - MAX_CROSSING_MILLIS * 1_000_000L;
            return sentAtById.entrySet().stream()
                    .filter(e -> e.getValue() > from && e.getValue() < to)
                    .filter(e -> isCut(e.getKey()))
                    .map(e -> e.getKey() + " sent after " + (e.getValue() - stopStartedAt) / 1_000_000 + " ms: "
                            + responseById.getOrDefault(e.getKey(), "no response"))
                    .toList();
        }

        private boolean isCut(String id) {
            String response = responseById.getOrDefault(id, "");
            return !response.startsWith("HTTP/1.1") || server.runs(id) > 0 && !response.startsWith("HTTP/1.1 200");
        }
    }

    private static ConfigurationVersion versionWithSlowRoute() {
        return NodeRig.version(
                1, b -> b.route(NodeRig.HOST, NodeRig.route("slow", "/slow/", RouteKind.BULK, HANG_MILLIS)));
    }

    /**
     * Guards against a process that exits with a response to another node still queued for the slow outgoing link, so
     * that the other node gets it truncated.
     */
    @Test
    void responseToAnotherNodeIsSentBeforeTheStopEnds() throws IOException {
        String pacedBody = "y".repeat(PACED_RESPONSE_BYTES);
        try (RawServer server = new RawServer((c, r) -> c.write(NodeRig.responseTo(r, pacedBody)));
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(NodeRig.version(1));
            Node node = rig.startWithLink(1, server, 1, SLOW_LINK_MBPS);
            rig.awaitReady(1);
            try (Socket peer = rig.requestAsPeer(1, "p1", PACED_RESPONSE_BYTES, 9_000)) {
                Await.until("the request reaches the backend server", () -> server.runs("p1") == 1, rig::logText);
                CompletableFuture<Boolean> complete =
                        CompletableFuture.supplyAsync(() -> readsCompleteResponseAfterPause(peer));
                node.stop();
                node.close();
                assertTrue(complete.join());
            }
        }
    }

    private static boolean readsCompleteResponseAfterPause(Socket peer) {
        NodeRig.sleep(PAUSE_MILLIS);
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[65_536];
        try {
            peer.setSoTimeout(20_000);
            InputStream in = peer.getInputStream();
            // Reads up to the last chunk instead of the end of the stream, because a node that is closed within this
            // process may leave the connection open.
            while (!isComplete(received)) {
                int n = in.read(buffer);
                if (n < 0) {
                    return false;
                }
                received.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean isComplete(StringBuilder response) {
        return response.length() > PACED_RESPONSE_BYTES
                && response.lastIndexOf(LAST_CHUNK) == response.length() - LAST_CHUNK.length();
    }
}
