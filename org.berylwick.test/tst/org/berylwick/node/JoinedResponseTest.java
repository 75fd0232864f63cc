package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A backend server answers a request twice, the second time broken off before the response to the next request. */
@Timeout(60)
class JoinedResponseTest {
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nx-pad: ab";
    private static final List<String> PARTS_OF_SUCCESS = List.of(
            "HTTP/1.1 200 O",
            "HTTP/1.1 200 OK\r\nx-p",
            SUCCESS,
            "HTTP/1.1 200 OK\r\nx-signature: 3e1b.07",
            "HTTP/1.1 200 OK\r\nx-pad: ab\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2",
            "HTTP/1.1 103 Early Hints\r\nlink: ab");
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1";
    private static final long IDLE_MILLIS = 30;

    /** A permit for each second response that was written while its connection was idle. */
    private final Semaphore partsWritten = new Semaphore(0);

    /** When the second response is written. */
    private enum Moment {
        IDLE,
        NEXT_REQUEST_READ
    }

    private static String failureOf(RawServer.Request request) {
        return "HTTP/1.1 500 Internal Server Error\r\nx-request-id: " + request.id()
                + "\r\nx-signature: s\r\nContent-Length: 6\r\n\r\nfailed";
    }

    /** Answers requests whose id begins with "first" twice, the second time broken off, and fails all others. */
    private RawServer.Script stutter(String part, Moment moment) {
        String[] late = {""};
        return (connection, request) -> {
            String length = request.header("content-length");
            connection.read(length.isEmpty() ? 0 : Integer.parseInt(length));
            if (!request.id().startsWith("first")) {
                connection.write(late[0]);
                late[0] = "";
                connection.write(failureOf(request));
                return;
            }
            connection.write(NodeRig.responseTo(request, "ok"));
            if (moment == Moment.NEXT_REQUEST_READ) {
                late[0] = part;
                return;
            }
            NodeRig.sleep(IDLE_MILLIS / 3);
            writeUnlessClosed(connection, part);
            partsWritten.release();
        };
    }

    private static void writeUnlessClosed(RawServer.Connection connection, String text) {
        try {
            connection.write(text);
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private static NodeRig rigWith(RawServer server) {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(NodeRig.version(1));
        rig.start(1, Optional.of(server));
        rig.awaitReady(1);
        return rig;
    }

    private String callAfterFirst(Moment moment, NodeRig rig, String method, String path, String id) {
        String firstResponse = rig.call(1, method, path, "first-" + id, "");
        assertTrue(firstResponse.startsWith("HTTP/1.1 200"), () -> firstResponse + rig.logText());
        if (moment == Moment.IDLE) {
            partsWritten.acquireUninterruptibly();
        }
        NodeRig.sleep(IDLE_MILLIS);
        return rig.call(1, method, path, id, "");
    }

    private void assertFailureIsDelivered(Moment moment, String method, String path) {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = rigWith(server)) {
            for (int i = 0; i < PARTS_OF_SUCCESS.size(); i++) {
                String part = PARTS_OF_SUCCESS.get(i);
                server.setScript(stutter(part, moment));
                String response = callAfterFirst(moment, rig, method, path, "a" + i);
                String statusLine = response.lines().findFirst().orElse("");
                assertTrue(statusLine.matches("HTTP/1.1 50[02] .*"), () -> part + " -> " + response + rig.logText());
                assertEquals(1, server.runs("a" + i), part);
            }
        }
    }

    /** Guards against a success in place of a failure: the part arrives while the connection is idle. */
    @Test
    void partOfSecondResponseOnIdleConnectionIsNotJoinedToFailureOfRead() {
        assertFailureIsDelivered(Moment.IDLE, "GET", "/read/x");
    }

    @Test
    void partOfSecondResponseOnIdleConnectionIsNotJoinedToFailureOfOrder() {
        assertFailureIsDelivered(Moment.IDLE, "POST", "/pay/x");
    }

    /** Guards against a success in place of a failure: the part arrives after the next request was sent. */
    @Test
    void partOfSecondResponseAfterNextRequestIsNotJoinedToFailureOfRead() {
        assertFailureIsDelivered(Moment.NEXT_REQUEST_READ, "GET", "/read/x");
    }

    @Test
    void partOfSecondResponseAfterNextRequestIsNotJoinedToFailureOfOrder() {
        assertFailureIsDelivered(Moment.NEXT_REQUEST_READ, "POST", "/pay/x");
    }

    /**
     * Guards against a second run of an order: part of a refusal is joined to the response of the server that ran it.
     */
    @Test
    void partOfRefusalIsNotJoinedToResponseOfOrder() {
        for (Moment moment : Moment.values()) {
            try (RawServer firstServer = new RawServer(stutter(REFUSAL, moment));
                    RawServer secondServer = new RawServer(stutter(REFUSAL, moment));
                    NodeRig rig = rigWith(firstServer)) {
                rig.start(2, Optional.of(secondServer));
                rig.awaitReady(2);
                rig.awaitMemberKnown("i-2");
                for (int i = 0; i < 8; i++) {
                    String id = "b" + i;
                    String response = callAfterFirst(moment, rig, "POST", "/pay/x", id);
                    assertEquals(1, firstServer.runs(id) + secondServer.runs(id), moment + " -> " + response);
                    assertFalse(response.startsWith("HTTP/1.1 503"), moment + " -> " + response);
                }
            }
        }
    }
}
