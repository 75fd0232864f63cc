package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.Event;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node is told to stop while answers are on their way out. */
@Timeout(60)
class StopTest {
    /** Gathered before it is passed on. */
    private static final int LENGTH = 1_000_000;
    /** Together more than the system takes for a connection whose other end does not read. */
    private static final int ANSWERS = 8;

    private static final double NARROW_MBPS = 30;
    private static final int WIDE_MBPS = 1_000;
    private static final int PACED_LENGTH = 4_500_000;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    /** Longer than a stop takes with nothing under way. */
    private static final int SLOW_MILLIS = 4_000;

    private static final int HANGS_MILLIS = 12_000;
    private static final int RUNS_MILLIS = 1_000;
    private static final int SHORTLY_BEFORE_THE_END_MILLIS = 5_000;

    private static final String LARGE = "x".repeat(LENGTH);

    private static int wholeAnswersLater(Socket caller) {
        NodeRig.sleep(SLOW_MILLIS);
        int whole = 0;
        try {
            while (whole < ANSWERS
                    && NodeRig.readAnswer(caller.getInputStream()).endsWith(LARGE)) {
                whole++;
            }
        } catch (IOException e) {
            return whole;
        }
        return whole;
    }

    /** Guards against a process that ends with an answer still in its buffers: its caller gets it cut short. */
    @Test
    void answerToASlowCallerLeavesBeforeTheStopEnds() throws IOException {
        try (RawServer server = new RawServer((c, r) -> c.write(NodeRig.answerTo(r, LARGE)));
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node node = rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            try (Socket caller = new Socket()) {
                caller.connect(rig.callers(1));
                caller.setSoTimeout(20_000);
                for (int i = 0; i < ANSWERS; i++) {
                    caller.getOutputStream()
                            .write(NodeRig.request("GET", "/read/x", "s" + i, 2_000, "")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                }
                String last = "s" + (ANSWERS - 1);
                Await.until("all run", () -> server.runs(last) == 1, rig::logged);
                CompletableFuture<Integer> whole = CompletableFuture.supplyAsync(() -> wholeAnswersLater(caller));
                NodeRig.sleep(500);
                node.stop();
                node.close();
                assertEquals(ANSWERS, whole.join());
            }
        }
    }

    /**
     * Guards against a request that is taken a moment before the grace ends, and gets neither an answer nor a refusal.
     */
    @Test
    void requestThatComesJustBeforeTheGraceEndsIsRefused() {
        RawServer.Script script = (c, r) -> {
            NodeRig.sleep(r.path().startsWith("/hang/") ? HANGS_MILLIS : RUNS_MILLIS);
            NodeRig.answerOk(c, r);
        };
        try (RawServer here = new RawServer(script);
                RawServer elsewhere = new RawServer(script);
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(
                    1,
                    b -> b.route(
                            NodeRig.HOST, NodeRig.route("hang", "/hang/", RouteKind.NON_IDEMPOTENT, HANGS_MILLIS))));
            Node node = rig.start(1, Optional.of(here));
            rig.awaitReady(1);
            CompletableFuture.runAsync(() -> rig.send(1, NodeRig.request("POST", "/hang/x", "h1", HANGS_MILLIS, "")));
            Await.until("it hangs", () -> here.runs("h1") == 1, rig::logged);
            rig.start(2, Optional.of(elsewhere));
            rig.awaitHeard("i-2");
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
                node.stop();
                node.close();
            });
            NodeRig.sleep(SHORTLY_BEFORE_THE_END_MILLIS);
            String answer = rig.call(1, "GET", "/read/x", "r1", "");
            assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After"), answer);
            assertEquals(0, elsewhere.runs("r1"));
            stopped.join();
        }
    }

    /**
     * Guards against a caller whose connection ends without an answer because the owner's did not come in the grace.
     */
    @Test
    void callerIsAnsweredWhenItsOwnerOutlastsTheGrace() throws IOException {
        try (NodeRig rig = NodeRig.ofEntry(versionWithSlowRoute());
                ScriptedPeer owner = ScriptedPeer.announced(rig, WIDE_MBPS)) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/slow/x", "w1", HANGS_MILLIS, "")));
            try (ScriptedPeer.Call call = owner.accept()) {
                call.head();
                call.beginAnswer("w1", LENGTH);
                rig.node(1).stop();
                rig.node(1).close();
                assertTrue(answer.join().startsWith("HTTP/1.1 502"), answer.join());
            }
        }
    }

    /**
     * Guards against a request whose body is still coming when all else is over, and is cut by the end of the process.
     */
    @Test
    void requestWhoseBodyIsComingIsAnsweredBeforeTheStopEnds() throws IOException {
        try (NodeRig rig = NodeRig.ofEntry(NodeRig.version(1));
                Socket caller = new Socket()) {
            caller.connect(rig.callers(1));
            caller.setSoTimeout(20_000);
            String request = NodeRig.request("POST", "/pay/x", "u1", 9_000, "body");
            String beginning = request.substring(0, request.length() - 2);
            caller.getOutputStream().write(beginning.getBytes(StandardCharsets.ISO_8859_1));
            NodeRig.sleep(200);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
                rig.node(1).stop();
                rig.node(1).close();
            });
            NodeRig.sleep(SLOW_MILLIS);
            caller.getOutputStream().write(request.substring(beginning.length()).getBytes(StandardCharsets.ISO_8859_1));
            String answer = NodeRig.readAnswer(caller.getInputStream());
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            stopped.join();
        }
    }

    /** Guards against an owner that makes an answer which its entry, told to stop, can no longer pass on. */
    @Test
    void ownerIsToldHowLongAStoppingEntryIsThere() throws IOException {
        try (NodeRig rig = NodeRig.ofEntry(versionWithSlowRoute());
                ScriptedPeer owner = ScriptedPeer.announced(rig, WIDE_MBPS)) {
            CompletableFuture<Void> stopped =
                    CompletableFuture.runAsync(() -> rig.node(1).stop());
            Await.until("it stops", () -> rig.logged().contains(Event.STOPPING.name()), rig::logged);
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/slow/x", "w2", HANGS_MILLIS, "")));
            try (ScriptedPeer.Call call = owner.accept()) {
                int left = ScriptedPeer.Call.millisLeft(call.head());
                assertTrue(left < NodeRig.GRACE_MILLIS, "told to be there for " + left + " ms");
                call.answer("w2", "in time");
                assertTrue(answer.join().endsWith("in time"), answer.join());
            }
            stopped.join();
        }
    }

    private static ConfigurationVersion versionWithSlowRoute() {
        return NodeRig.version(
                1, b -> b.route(NodeRig.HOST, NodeRig.route("slow", "/slow/", RouteKind.BULK, HANGS_MILLIS)));
    }

    /** The same for an answer to another node that waits for the link. */
    @Test
    void answerToAnotherNodeLeavesBeforeTheStopEnds() throws IOException {
        String paced = "y".repeat(PACED_LENGTH);
        try (RawServer server = new RawServer((c, r) -> c.write(NodeRig.answerTo(r, paced)));
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node node = rig.startOnLink(1, server, 1, NARROW_MBPS);
            rig.awaitReady(1);
            try (Socket other = rig.askAsNode(1, "p1", PACED_LENGTH, 9_000)) {
                Await.until("it runs", () -> server.runs("p1") == 1, rig::logged);
                CompletableFuture<Boolean> whole = CompletableFuture.supplyAsync(() -> isWholeLater(other));
                node.stop();
                node.close();
                assertTrue(whole.join());
            }
        }
    }

    private static boolean isWholeLater(Socket node) {
        NodeRig.sleep(SLOW_MILLIS);
        StringBuilder all = new StringBuilder();
        byte[] part = new byte[65_536];
        try {
            node.setSoTimeout(20_000);
            InputStream in = node.getInputStream();
            // Not until its end: a node that is closed within this process may leave the connection open.
            while (!isWhole(all)) {
                int n = in.read(part);
                if (n < 0) {
                    return false;
                }
                all.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean isWhole(StringBuilder answer) {
        return answer.length() > PACED_LENGTH
                && answer.lastIndexOf(LAST_CHUNK) == answer.length() - LAST_CHUNK.length();
    }
}
