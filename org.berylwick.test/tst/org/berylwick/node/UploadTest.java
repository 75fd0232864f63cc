package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Large bodies, of requests that must run once. */
class UploadTest {
    private static final int MOST_BYTES = 9_000_000;

    private static NodeRig rig() {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(NodeRig.version(
                1, b -> b.limits(new CallerLimits(16_384, MOST_BYTES, 3_000_000_000L, 15_000_000_000L))));
        return rig;
    }

    private static String body(int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; text.length() < length; i++) {
            text.append(i).append(' ');
        }
        return text.substring(0, length);
    }

    private static String sum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return bytes.length + "/" + crc.getValue();
    }

    private static String sum(String text) {
        return sum(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Answers with the length and the sum of the body that it read. */
    private static void answerSum(RawServer.Connection connection, RawServer.Request request) throws IOException {
        byte[] read = connection.read(Integer.parseInt(request.header("content-length")));
        connection.write(NodeRig.answerTo(request, sum(read)));
    }

    /** A body of any length reaches the backend server whole and once, beside the entry and on another VM. */
    @ParameterizedTest
    @CsvSource({"360000, 1", "360000, 2", "8000000, 1", "8000000, 2"})
    void bodyArrivesWholeAndOnce(int length, int at) {
        try (RawServer server = new RawServer(UploadTest::answerSum);
                NodeRig rig = rig()) {
            rig.start(1, at == 1 ? Optional.of(server) : Optional.empty());
            if (at == 2) {
                rig.start(2, Optional.of(server));
                rig.awaitHeard("i-2");
            }
            rig.awaitReady(1);
            String body = body(length);
            String answer = rig.call(1, "POST", "/pay/x", "u1", body);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.endsWith(sum(body)), answer);
            assertEquals(1, server.runs("u1"));
        }
    }

    /** What is longer than the platform allows is refused before it is gathered, and runs nowhere. */
    @Test
    void tooLongABodyRunsNowhere() {
        try (RawServer server = new RawServer(UploadTest::answerSum);
                NodeRig rig = rig()) {
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            String head = "POST /pay/x HTTP/1.1\r\nHost: " + NodeRig.HOST
                    + "\r\nx-request-id: u2\r\nx-deadline: 2000\r\nContent-Length: 9000001\r\n\r\n";
            String answer = rig.send(1, head + body(1_000));
            assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
            assertEquals(0, server.runs("u2"));
        }
    }

    /** A backend server that says that it did not run a body is followed by another, which gets it whole. */
    @Test
    void bodyThatWasTurnedAwayRunsWholeElsewhere() {
        try (RawServer one = new RawServer((c, r) -> {
                    c.read(Integer.parseInt(r.header("content-length")));
                    c.write("HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-request-id: " + r.id()
                            + "\r\nContent-Length: 0\r\n\r\n");
                });
                RawServer two = new RawServer(UploadTest::answerSum);
                NodeRig rig = rig()) {
            rig.start(1, Optional.of(one));
            rig.start(2, Optional.of(two));
            rig.awaitHeard("i-2");
            rig.awaitReady(1);
            String body = body(360_000);
            for (int i = 0; i < 3; i++) {
                String answer = rig.call(1, "POST", "/pay/x", "u3-" + i, body);
                assertTrue(answer.endsWith(sum(body)), answer);
                assertEquals(1, two.runs("u3-" + i));
            }
        }
    }

    /** A backend server may answer before it has read the body: its answer is the caller's. */
    @Test
    void answerBeforeTheEndOfTheBodyIsPassedOn() {
        try (RawServer server = new RawServer((c, r) -> {
                    c.read(1_000);
                    c.write("HTTP/1.1 422 No\r\nx-request-id: " + r.id()
                            + "\r\nx-signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno");
                    c.awaitClosedByPeer();
                });
                NodeRig rig = rig()) {
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            String answer = rig.call(1, "POST", "/pay/x", "u4", body(8_000_000));
            assertTrue(answer.startsWith("HTTP/1.1 422"), answer);
            assertTrue(answer.endsWith("no"), answer);
            assertEquals(1, server.runs("u4"));
        }
    }

    /** A caller that leaves midway has run nothing, and the next one is served. */
    @Test
    void callerThatLeavesMidwayRunsNothing() throws IOException {
        try (RawServer server = new RawServer(UploadTest::answerSum);
                NodeRig rig = rig()) {
            rig.start(1, Optional.of(server));
            rig.awaitReady(1);
            String half = NodeRig.request("POST", "/pay/x", "u5", 2_000, body(8_000_000));
            for (int i = 0; i < 5; i++) {
                try (Socket caller = new Socket()) {
                    caller.connect(rig.callers(1));
                    caller.getOutputStream().write(half.substring(0, 4_000_000).getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            String body = body(8_000_000);
            Await.until(
                    "the next one is served",
                    () -> rig.call(1, "POST", "/pay/x", "u6", body).endsWith(sum(body)),
                    rig::logged);
            assertEquals(0, server.runs("u5"));
        }
    }
}
