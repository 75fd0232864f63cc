package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.node.log.Event;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a backend server whose leave was acknowledged gets no more requests. */
@Timeout(60)
class LeaveTest {
    private static final String HEALTH_PATH = "/healthy";
    private static final String INCARNATION = "i-leaving";

    /** How the backend server says that it leaves. */
    private enum Leave {
        DRAINING_HEARTBEAT,
        DEREGISTRATION
    }

    /** Outdated or false evidence of a backend server that is ready. */
    private enum Evidence {
        DELAYED_HEARTBEAT,
        FALSE_HEALTH
    }

    /** A request to a route of this version can only be run by the backend server beside node 1. */
    private static ConfigurationVersion version() {
        Route own = new Route(
                "own",
                "/own/",
                RouteKind.NON_IDEMPOTENT,
                2_000_000_000L,
                600_000_000L,
                2,
                1,
                List.of(new WeightedService("caller-1", 1)));
        return NodeRig.version(1, b -> b.service("caller-1", 10, HEALTH_PATH).route(NodeRig.HOST, own));
    }

    private static RawServer startBackend(Evidence evidence) {
        int healthStatus = evidence == Evidence.FALSE_HEALTH ? 200 : 503;
        return new RawServer((connection, request) -> respond(healthStatus, connection, request));
    }

    private static void respond(int healthStatus, RawServer.Connection connection, RawServer.Request request)
            throws IOException {
        if (!request.path().equals(HEALTH_PATH)) {
            NodeRig.respondOk(connection, request);
            return;
        }
        connection.write("HTTP/1.1 " + healthStatus + " Health\r\nx-instance: " + INCARNATION
                + "\r\nx-load: 1,0,3\r\nContent-Length: 0\r\n\r\n");
    }

    private static void reportState(NodeRig rig, RawServer server, long sequence, BackendState state) {
        rig.report(1, "caller-1", server, INCARNATION, sequence, state, 2);
    }

    private static String call(NodeRig rig, String id) {
        return rig.call(1, "POST", "/own/x", id, "");
    }

    /** Ends a node without a graceful stop; without a quiet period its event loop may end with open sockets. */
    private static void kill(Node node) {
        node.loop()
                .parent()
                .shutdownGracefully(50, 10_000, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /** Guards against requests to a backend server whose leave the killed process of its node had acknowledged. */
    @ParameterizedTest
    @EnumSource(Evidence.class)
    void acknowledgedLeaveOutlastsTheProcessOfTheNode(Evidence evidence) {
        for (Leave leave : Leave.values()) {
            try (RawServer server = startBackend(evidence);
                    NodeRig rig = new NodeRig()) {
                rig.configuration.publish(version());
                Node killed = rig.startWithoutReport(1, server);
                reportState(rig, server, 3, BackendState.READY);
                rig.awaitReady(1);
                assertTrue(call(rig, "before").endsWith("ok"), rig::logText);
                if (leave == Leave.DEREGISTRATION) {
                    rig.leave(1, INCARNATION);
                } else {
                    reportState(rig, server, 4, BackendState.DRAINING);
                }
                kill(killed);
                rig.startWithoutReport(1, server);
                rig.awaitReady(1);
                Await.until("a health check", () -> rig.logText().contains(Event.BACKEND_PROBED.name()), rig::logText);
                if (evidence == Evidence.DELAYED_HEARTBEAT) {
                    reportState(rig, server, 3, BackendState.READY);
                }
                String response = call(rig, "after");
                assertEquals(0, server.runs("after"), leave + ": " + rig.logText());
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
            }
        }
    }

    /** Guards against a backend server that is refused for good because an earlier start under its id left. */
    @Test
    void laterStartUnderTheSameIdServesAfterALeaveAndARestartOfTheNode() {
        try (RawServer server = startBackend(Evidence.FALSE_HEALTH);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            Node killed = rig.startWithoutReport(1, server);
            rig.report(1, "caller-1", server, INCARNATION + "?born=1000", 30, BackendState.READY, 2);
            rig.awaitReady(1);
            assertTrue(call(rig, "before").endsWith("ok"), rig::logText);
            rig.leave(1, INCARNATION);
            kill(killed);
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            rig.report(1, "caller-1", server, INCARNATION + "?born=1000", 31, BackendState.READY, 2);
            assertTrue(call(rig, "late").startsWith("HTTP/1.1 503"), rig::logText);
            rig.report(1, "caller-1", server, INCARNATION + "?born=2000", 0, BackendState.READY, 2);
            Await.until(
                    "a response of the later start", () -> call(rig, "after").endsWith("ok"), rig::logText);
            assertEquals(0, server.runs("late"), rig::logText);
        }
    }

    /** Guards against an acknowledgement that a kill of the node would take back. */
    @Test
    void leaveIsAcknowledgedOnlyOnceItIsRecorded() {
        try (RawServer server = startBackend(Evidence.DELAYED_HEARTBEAT);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.startWithoutReport(1, server);
            reportState(rig, server, 3, BackendState.READY);
            rig.awaitReady(1);
            Await.until("a response", () -> call(rig, "first").endsWith("ok"), rig::logText);
            rig.directory.setUnavailable(true);
            assertTrue(rig.leave(1, INCARNATION).startsWith("HTTP/1.1 503"));
            assertTrue(call(rig, "meanwhile").startsWith("HTTP/1.1 503"));
            rig.directory.setUnavailable(false);
            Await.until(
                    "the acknowledgement", () -> rig.leave(1, INCARNATION).startsWith("HTTP/1.1 200"), rig::logText);
            assertEquals(0, server.runs("meanwhile"), rig::logText);
        }
    }

    /** Guards against one late or false word being enough while the record of departures cannot be read. */
    @ParameterizedTest
    @EnumSource(Evidence.class)
    void singleEvidenceIsNotEnoughWithoutTheRecord(Evidence evidence) {
        try (RawServer server = startBackend(evidence);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.directory.setUnavailable(true);
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until("a health check", () -> rig.logText().contains(Event.BACKEND_PROBED.name()), rig::logText);
            reportState(rig, server, 3, BackendState.READY);
            reportState(rig, server, 4, BackendState.READY);
            assertTrue(call(rig, "early").startsWith("HTTP/1.1 503"));
            NodeRig.sleep(NodeRig.HEARTBEAT_MILLIS);
            reportState(rig, server, 3, BackendState.READY);
            assertTrue(call(rig, "again").startsWith("HTTP/1.1 503"));
            assertEquals(0, server.runs("early") + server.runs("again"), rig::logText);
        }
    }

    /** Guards against requests after an acknowledged leave when two heartbeats are held up by the same time. */
    @Test
    void twoDelayedHeartbeatsAreNotEnoughWithoutTheRecord() {
        try (RawServer server = startBackend(Evidence.DELAYED_HEARTBEAT);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            Node killed = rig.startWithoutReport(1, server);
            reportState(rig, server, 3, BackendState.READY);
            rig.awaitReady(1);
            rig.leave(1, INCARNATION);
            rig.directory.setUnavailable(true);
            kill(killed);
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            reportState(rig, server, 4, BackendState.READY);
            NodeRig.sleep(NodeRig.HEARTBEAT_MILLIS);
            reportState(rig, server, 5, BackendState.READY);
            assertTrue(call(rig, "after").startsWith("HTTP/1.1 503"), rig::logText);
            assertEquals(0, server.runs("after"), rig::logText);
        }
    }

    /** Guards against a backend server without requests for as long as the record of departures cannot be read. */
    @Test
    void twoHeartbeatsAndAHealthCheckAreEnoughWithoutTheRecord() {
        try (RawServer server = startBackend(Evidence.FALSE_HEALTH);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.directory.setUnavailable(true);
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until("a health check", () -> rig.logText().contains(Event.BACKEND_PROBED.name()), rig::logText);
            reportState(rig, server, 3, BackendState.READY);
            NodeRig.sleep(NodeRig.HEARTBEAT_MILLIS);
            reportState(rig, server, 4, BackendState.READY);
            assertTrue(call(rig, "served").endsWith("ok"), rig::logText);
        }
    }

    /** Guards against requests after an acknowledged leave that no running process but the store knows of. */
    @Test
    void nodeThatTheStoreAnswersReadsTheRecordForOneThatItRefuses() {
        try (RawServer server = startBackend(Evidence.FALSE_HEALTH);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            Node killed = rig.startWithoutReport(1, server);
            reportState(rig, server, 3, BackendState.READY);
            rig.awaitReady(1);
            rig.leave(1, INCARNATION);
            rig.directory.setRefused("node-1", true);
            kill(killed);
            rig.start(2, Optional.empty());
            rig.awaitReady(2);
            rig.startWithoutReport(1, server);
            Await.until("the record", () -> rig.logText().contains(Event.BACKEND_LEFT_EARLIER.name()), rig::logText);
            reportState(rig, server, 4, BackendState.READY);
            NodeRig.sleep(NodeRig.HEARTBEAT_MILLIS);
            reportState(rig, server, 5, BackendState.READY);
            assertTrue(call(rig, "after").startsWith("HTTP/1.1 503"), rig::logText);
            assertEquals(0, server.runs("after"), rig::logText);
        }
    }

    /** Guards against a restarted node that waits for evidence though another node can read that nothing has left. */
    @Test
    void oneHeartbeatIsEnoughWithTheRecordReadByAnotherNode() {
        try (RawServer server = startBackend(Evidence.DELAYED_HEARTBEAT);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            rig.directory.setRefused("node-1", true);
            rig.start(2, Optional.empty());
            rig.awaitReady(2);
            rig.startWithoutReport(1, server);
            Await.until(
                    "the record", () -> rig.logText().contains(Event.ENTRY_READ_BY_OTHER_NODE.name()), rig::logText);
            reportState(rig, server, 3, BackendState.READY);
            assertTrue(call(rig, "served").endsWith("ok"), rig::logText);
        }
    }

    /**
     * Guards against a restarted node that ignores its backend server while the record of departures cannot be read.
     */
    @Test
    void otherNodesConfirmAHealthyBackendServerWithoutTheRecord() {
        try (RawServer server = startBackend(Evidence.FALSE_HEALTH);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            Node killed = rig.startWithoutReport(1, server);
            rig.start(2, Optional.empty());
            reportState(rig, server, 3, BackendState.READY);
            rig.awaitMemberKnown(INCARNATION);
            rig.directory.setUnavailable(true);
            kill(killed);
            rig.startWithoutReport(1, server);
            rig.awaitReady(1);
            Await.until("a response", () -> call(rig, "served").endsWith("ok"), rig::logText);
        }
    }

    /** Guards against requests after a leave that other nodes have heard of, while the record cannot be read. */
    @Test
    void otherNodesTellOfALeaveWithoutTheRecord() {
        try (RawServer server = startBackend(Evidence.FALSE_HEALTH);
                NodeRig rig = new NodeRig()) {
            rig.configuration.publish(version());
            Node killed = rig.startWithoutReport(1, server);
            rig.start(2, Optional.empty());
            reportState(rig, server, 3, BackendState.READY);
            rig.awaitMemberKnown(INCARNATION);
            rig.leave(1, INCARNATION);
            Await.until(
                    "node 2 hears of the leave",
                    () -> rig.logText().contains("\"DRAINING\",\"leaving\""),
                    rig::logText);
            rig.directory.setUnavailable(true);
            kill(killed);
            rig.startWithoutReport(1, server);
            Await.until(
                    "news of the leave", () -> rig.logText().contains(Event.BACKEND_LEFT_EARLIER.name()), rig::logText);
            reportState(rig, server, 3, BackendState.READY);
            NodeRig.sleep(NodeRig.HEARTBEAT_MILLIS);
            reportState(rig, server, 4, BackendState.READY);
            assertTrue(call(rig, "after").startsWith("HTTP/1.1 503"));
            assertEquals(0, server.runs("after"), rig::logText);
        }
    }
}
