package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node is stopped or killed and started again while the backend server beside it runs on. */
@Timeout(60)
class RestartTest {
    private static final String HEALTH = "/healthy";

    private static ConfigurationVersion version() {
        return NodeRig.version(
                1,
                b -> b.service("caller-1", 10, HEALTH)
                        .route(
                                NodeRig.HOST,
                                new Route(
                                        "own",
                                        "/own/",
                                        RouteKind.NON_IDEMPOTENT,
                                        2_000_000_000L,
                                        600_000_000L,
                                        2,
                                        1,
                                        List.of(new WeightedService("caller-1", 1)))));
    }

    private static void answerAs(String incarnation, int status, RawServer.Connection c, RawServer.Request r)
            throws IOException {
        if (!r.path().equals(HEALTH)) {
            NodeRig.answerOk(c, r);
            return;
        }
        c.write("HTTP/1.1 " + status + " Told\r\nx-instance: " + incarnation
                + "\r\nx-load: 1,0,3\r\nContent-Length: 0\r\n\r\n");
    }

    /**
     * A node starts beside a backend server that runs already, and whose next heartbeat is far off. Callers would be
     * refused until then; the node asks the backend server who it is, and serves.
     */
    @Test
    void nodeThatIsBackServesBeforeTheNextHeartbeat() {
        try (RawServer server = new RawServer((c, r) -> answerAs("i-running", 200, c, r));
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(version());
            rig.startUnreported(1, server);
            rig.awaitReady(1);
            Await.until(
                    "an answer of the backend server",
                    () -> rig.call(1, "POST", "/own/x", "a" + System.nanoTime(), "")
                            .endsWith("ok"),
                    rig::logged);
            assertEquals("i-running", lastOf(server).header("x-target"));
        }
    }

    /** The same of one that is leaving: it says that it is not healthy, and gets nothing. */
    @Test
    void backendServerThatIsLeavingGetsNoWorkFromANodeThatIsBack() {
        List<String> asked = new CopyOnWriteArrayList<>();
        try (RawServer server = new RawServer((c, r) -> {
                    asked.add(r.path());
                    answerAs("i-leaving", 503, c, r);
                });
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(version());
            rig.startUnreported(1, server);
            rig.awaitReady(1);
            Await.until("that it was asked", () -> asked.size() >= 2, rig::logged);
            assertTrue(rig.call(1, "POST", "/own/x", "a1", "").startsWith("HTTP/1.1 503"));
            assertTrue(asked.stream().allMatch(HEALTH::equals), asked.toString());
        }
    }

    /** The backend server was replaced meanwhile: the first heartbeat of the new one goes before what was asked. */
    @Test
    void heartbeatTakesOverFromWhatWasAsked() {
        try (RawServer server = new RawServer((c, r) -> answerAs("i-old", 200, c, r));
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(version());
            rig.startUnreported(1, server);
            rig.awaitReady(1);
            Await.until("that it was asked", () -> rig.logged().contains("i-old"), rig::logged);
            rig.report(1, "caller-1", server, "i-new", 1, BackendState.READY, 2);
            assertTrue(rig.call(1, "POST", "/own/x", "a1", "").endsWith("ok"));
            assertEquals("i-new", lastOf(server).header("x-target"));
        }
    }

    /**
     * A node is told to stop; the platform needs two seconds to send its callers elsewhere. The backend server beside
     * it would be out of reach all that time; it serves other nodes' callers until the node's own are gone.
     */
    @Test
    void backendServerOfANodeThatStopsServesOthersUntilCallersAreGone() throws InterruptedException {
        try (RawServer server = new RawServer(NodeRig::answerOk);
                NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node stopped = rig.start(1, Optional.of(server));
            rig.start(2, Optional.empty());
            rig.awaitReady(2);
            Await.until(
                    "an answer through node 2",
                    () -> rig.call(2, "POST", "/pay/x", "a" + System.nanoTime(), "")
                            .endsWith("ok"),
                    rig::logged);
            Thread stopper = Thread.ofPlatform().start(stopped::stop);
            Await.until("not ready", () -> !rig.isReady(1), rig::logged);
            for (int i = 0; i < 10; i++) {
                assertTrue(rig.call(2, "POST", "/pay/x", "b" + i, "").endsWith("ok"), rig.logged());
                NodeRig.sleep(60);
            }
            NodeRig.sleep(300);
            rig.isReady(1);
            long before = System.nanoTime();
            stopper.join();
            long millis = (System.nanoTime() - before) / 1_000_000;
            assertTrue(millis < 1_200, "ended " + millis + " ms after its callers were gone");
            assertTrue(rig.call(2, "POST", "/pay/x", "c", "").startsWith("HTTP/1.1 503"), rig.logged());
        }
    }

    /**
     * A run that began before the stop makes a call of its own, through the port for callers of the node that stops,
     * after that node's callers are gone. With the port closed the call and the run would fail.
     */
    @Test
    void runsOfANodeThatStopsStillMakeTheirCalls() throws InterruptedException {
        NodeRig[] held = new NodeRig[1];
        String[] inner = new String[1];
        try (RawServer server = new RawServer((c, r) -> {
                    if (r.id().equals("outer")) {
                        NodeRig.sleep(1_500);
                        inner[0] = held[0].call(1, "GET", "/read/x", "inner", "");
                    }
                    NodeRig.answerOk(c, r);
                });
                RawServer other = new RawServer(NodeRig::answerOk);
                NodeRig rig = new NodeRig()) {
            held[0] = rig;
            rig.configuration.accept(NodeRig.version(1));
            Node stopped = rig.start(1, Optional.of(server));
            rig.start(2, "zone-b", Optional.of(other), 2);
            rig.awaitReady(1);
            rig.awaitHeard("i-2");
            String[] answer = new String[1];
            Thread caller = Thread.ofPlatform().start(() -> answer[0] = rig.call(1, "POST", "/pay/x", "outer", ""));
            Await.until("the run", () -> server.runs("outer") == 1, rig::logged);
            Thread stopper = Thread.ofPlatform().start(stopped::stop);
            rig.isReady(1);
            NodeRig.sleep(700);
            rig.isReady(1);
            caller.join();
            stopper.join();
            assertTrue(answer[0].endsWith("ok"), answer[0]);
            assertTrue(inner[0].endsWith("ok"), inner[0]);
        }
    }

    private static RawServer.Request lastOf(RawServer server) {
        return server.requests().get(server.requests().size() - 1);
    }
}
