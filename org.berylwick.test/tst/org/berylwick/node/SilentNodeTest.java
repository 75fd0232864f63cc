package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A VM loses power while it has a request: its connections stay open at the other end and nothing comes any more. The
 * caller of a repeatable request would wait for its deadline; it is run elsewhere as soon as the node counts as silent.
 */
@Timeout(60)
class SilentNodeTest {
    private static final int LINK_MBPS = 100;
    /** Over which a body is sent only when it is asked for. */
    private static final int NARROW_MBPS = 5;

    private static final int BODY_LENGTH = 60_000;
    /** Longer than a node of a fleet of two may be unheard. */
    private static final int SILENCE_MILLIS = 2_500;
    /** Longer than a round of datagrams, after which unheard nodes are looked for. */
    private static final int WORK_MILLIS = 1_200;

    @Test
    void repeatableRequestLeavesANodeThatLostPower() throws IOException, InterruptedException {
        try (RawServer server = new RawServer(NodeRig::answerOk);
                NodeRig rig = NodeRig.ofEntry(versionWith(NodeRig.route("long", "/long/", RouteKind.BULK, 20_000)));
                ScriptedPeer silent = ScriptedPeer.announced(rig, LINK_MBPS)) {
            String[] answer = new String[1];
            long before = System.nanoTime();
            String request = NodeRig.request("GET", "/long/x", "a1", 20_000, "");
            Thread caller = Thread.ofPlatform().start(() -> answer[0] = rig.send(1, request));
            silent.accept();
            rig.start(2, Optional.of(server));
            caller.join();
            assertTrue(answer[0].endsWith("ok"), answer[0]);
            assertTrue(System.nanoTime() - before < 10_000_000_000L, "it waited for its deadline");
        }
    }

    /** A node whose datagrams are lost, as on a full link, but which has a request at work: its answer is passed on. */
    @Test
    void requestStaysAtAnUnheardNodeWhenNoOtherCanRunIt() throws Exception {
        try (NodeRig rig = NodeRig.ofEntry(NodeRig.version(1));
                ScriptedPeer unheard = ScriptedPeer.announced(rig, LINK_MBPS)) {
            NodeRig.sleep(SILENCE_MILLIS);
            CompletableFuture<String> answer = callLater(rig, "GET", "/read/x", "b1");
            try (ScriptedPeer.Call call = unheard.accept()) {
                call.head();
                NodeRig.sleep(WORK_MILLIS);
                call.answer("b1", "late but whole");
                assertTrue(answer.join().endsWith("late but whole"), answer.join());
            }
        }
    }

    /** A request that must run once gains nothing by leaving an unheard node, and loses its answer. */
    @Test
    void nonIdempotentRequestStaysAtAnUnheardNode() throws Exception {
        try (RawServer server = new RawServer(NodeRig::answerOk);
                NodeRig rig = NodeRig.ofEntry(
                        versionWith(NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000)));
                ScriptedPeer unheard = ScriptedPeer.announced(rig, LINK_MBPS)) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("POST", "/slow/x", "b2", 12_000, "")));
            try (ScriptedPeer.Call call = unheard.accept()) {
                call.head();
                rig.start(2, Optional.of(server));
                NodeRig.sleep(2 * SILENCE_MILLIS);
                call.answer("b2", "late but whole");
                assertTrue(answer.join().endsWith("late but whole"), answer.join());
                assertEquals(0, server.runs("b2"));
            }
        }
    }

    /** Guards against an order that waits for its deadline at a node that never asked for its body. */
    @Test
    void requestWhoseBodyWasNotAskedForLeavesAnUnheardNode() throws Exception {
        String body = "b".repeat(BODY_LENGTH);
        try (RawServer server = new RawServer((c, r) -> {
                    c.read(BODY_LENGTH);
                    NodeRig.answerOk(c, r);
                });
                NodeRig rig = NodeRig.ofEntry(
                        versionWith(NodeRig.route("slow", "/slow/", RouteKind.NON_IDEMPOTENT, 12_000)));
                ScriptedPeer unheard = ScriptedPeer.announced(rig, NARROW_MBPS)) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("POST", "/slow/x", "b4", 12_000, body)));
            try (ScriptedPeer.Call call = unheard.accept()) {
                call.head();
                rig.start(2, Optional.of(server));
                assertTrue(answer.join().endsWith("ok"), answer.join());
                assertEquals(1, server.runs("b4"));
            }
        }
    }

    /** The other node refuses the repeat of a request: the run at the unheard node is still the best there is. */
    @Test
    void requestGoesBackToAnUnheardNodeWhenTheOtherRefuses() throws Exception {
        try (RawServer full = new RawServer((c, r) -> c.write("HTTP/1.1 503 Full\r\nx-request-id: " + r.id()
                        + "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"));
                NodeRig rig = NodeRig.ofEntry(versionWith(NodeRig.route("long", "/long/", RouteKind.BULK, 20_000)));
                ScriptedPeer unheard = ScriptedPeer.announced(rig, LINK_MBPS)) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(
                    () -> rig.send(1, NodeRig.request("GET", "/long/x", "b3", 20_000, "")));
            try (ScriptedPeer.Call call = unheard.accept()) {
                call.head();
                rig.start(2, Optional.of(full));
                Await.until("the other was asked", () -> full.runs("b3") > 0, rig::logged);
                NodeRig.sleep(300);
                call.answer("b3", "late but whole");
                assertTrue(answer.join().endsWith("late but whole"), answer.join());
            }
        }
    }

    private static ConfigurationVersion versionWith(Route route) {
        return NodeRig.version(1, b -> b.route(NodeRig.HOST, route));
    }

    private static CompletableFuture<String> callLater(NodeRig rig, String method, String path, String id) {
        return CompletableFuture.supplyAsync(() -> rig.call(1, method, path, id, ""));
    }

    /**
     * A call that ends by its deadline names the node that it waited for; without that its cause is anybody's guess.
     */
    @Test
    void callThatEndsByItsDeadlineNamesTheNodeItWaitedFor() throws IOException {
        try (NodeRig rig =
                        NodeRig.ofEntry(versionWith(NodeRig.route("quick", "/quick/", RouteKind.NON_IDEMPOTENT, 300)));
                ScriptedPeer mute = new ScriptedPeer(rig)) {
            mute.announce(LINK_MBPS);
            String answer = rig.send(1, NodeRig.request("POST", "/quick/x", "a2", 20_000, ""));
            assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
            String named = rig.ip(9) + "=PENDING";
            Await.until("the log names it", () -> rig.logged().contains(named), rig::logged);
        }
    }
}
