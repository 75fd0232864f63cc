package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Request bodies that are large for the links between nodes. When each hop buffered the whole body, 60 KB took 0.1 s
 * three times over at 5 Mbit/s. When all entries sent their bodies at once, these filled the links of a few owners for
 * seconds, and small requests behind them were late.
 */
@Timeout(60)
class StreamedUploadTest {
    private static final int BODY_LENGTH = 200_000;
    private static final int HALF_LENGTH = BODY_LENGTH / 2;
    private static final int FAST_LINK_MBPS = 1_000;
    private static final int SLOW_LINK_MBPS = 5;
    private static final String BODY = "x".repeat(BODY_LENGTH);

    private static NodeRig startEntry() {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(
                NodeRig.version(1, b -> b.limits(new CallerLimits(16_384, 1 << 20, 3_000_000_000L, 15_000_000_000L))));
        rig.start(1, Optional.empty());
        rig.awaitReady(1);
        return rig;
    }

    private static byte[] toBytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String requestHead(String path, String id) {
        String request = NodeRig.request("POST", path, id, 2_000, BODY);
        return request.substring(0, request.length() - BODY_LENGTH);
    }

    private static Socket connectCaller(NodeRig rig) throws IOException {
        Socket caller = new Socket();
        caller.connect(rig.callerAddress(1));
        caller.setSoTimeout(20_000);
        return caller;
    }

    /** The owner receives the first half of the body before the caller has sent the second. */
    @Test
    void bodyIsForwardedAsItArrives() throws IOException {
        try (NodeRig rig = startEntry();
                ScriptedPeer peer = new ScriptedPeer(rig)) {
            peer.announce(FAST_LINK_MBPS);
            try (Socket caller = connectCaller(rig)) {
                OutputStream out = caller.getOutputStream();
                out.write(toBytes(requestHead("/pay/x", "s1") + BODY.substring(0, HALF_LENGTH)));
                try (ScriptedPeer.Connection call = peer.accept()) {
                    assertTrue(call.readHead().contains("content-length: " + BODY_LENGTH));
                    assertEquals(HALF_LENGTH, call.readBody(HALF_LENGTH).length);
                    out.write(toBytes(BODY.substring(HALF_LENGTH)));
                    assertEquals(BODY_LENGTH - HALF_LENGTH, call.readBody(BODY_LENGTH - HALF_LENGTH).length);
                    call.respond("s1", "stored");
                    String response = ResponseReader.read(caller.getInputStream());
                    assertTrue(response.endsWith("stored"), response);
                }
            }
        }
    }

    /** Over a slow link an owner first receives the head alone, and the body only after it has requested it. */
    @Test
    void bodyIsHeldUntilOwnerOnSlowLinkRequestsIt() throws IOException {
        try (NodeRig rig = startEntry();
                ScriptedPeer peer = new ScriptedPeer(rig)) {
            peer.announce(SLOW_LINK_MBPS);
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> rig.call(1, "POST", "/pay/x", "s2", BODY));
            try (ScriptedPeer.Connection call = peer.accept()) {
                assertTrue(call.readHead().contains("expect: 100-continue"));
                assertFalse(call.receivesWithin(100), "the body was sent before it was requested");
                call.sendContinue();
                assertEquals(BODY_LENGTH, call.readBody(BODY_LENGTH).length);
                call.respond("s2", "stored");
            }
            assertTrue(response.join().endsWith("stored"), response.join());
        }
    }

    /**
     * A request that is refused before its body was sent runs once on another node with its complete body, and none of
     * the body is sent to the node that refused it.
     */
    @Test
    void requestRefusedBeforeBodyRunsElsewhereWithWholeBody() throws IOException {
        try (NodeRig rig = startEntry();
                ScriptedPeer peer = new ScriptedPeer(rig);
                RawServer server = new RawServer((c, r) -> {
                    int bodyLength = c.read(Integer.parseInt(r.header("content-length"))).length;
                    c.write(NodeRig.responseTo(r, "read " + bodyLength));
                })) {
            peer.announce(SLOW_LINK_MBPS);
            CompletableFuture<String> response =
                    CompletableFuture.supplyAsync(() -> rig.call(1, "POST", "/pay/x", "s3", BODY));
            try (ScriptedPeer.Connection call = peer.accept()) {
                call.readHead();
                rig.start(2, Optional.of(server));
                rig.awaitMemberKnown("i-2");
                call.refuse();
                assertTrue(response.join().endsWith("read " + BODY_LENGTH), response.join());
                assertFalse(call.receivesWithin(50), "the body was sent although the request was refused");
            }
            assertEquals(1, server.runs("s3"));
        }
    }

    /**
     * Guards against a 502 for a non-idempotent request whose owner's node dies during the upload, since its caller
     * could not retry. The owner cannot have run a request whose body it never had completely, so the request is sent
     * to another node.
     */
    @Test
    void nonIdempotentRequestRunsElsewhereIfOwnerDiesDuringUpload() throws IOException {
        try (NodeRig rig = startEntry();
                ScriptedPeer peer = new ScriptedPeer(rig);
                RawServer server = new RawServer((c, r) -> {
                    c.read(Integer.parseInt(r.header("content-length")));
                    NodeRig.respondOk(c, r);
                })) {
            peer.announce(FAST_LINK_MBPS);
            try (Socket caller = connectCaller(rig)) {
                OutputStream out = caller.getOutputStream();
                out.write(toBytes(requestHead("/pay/x", "s4") + BODY.substring(0, HALF_LENGTH)));
                try (ScriptedPeer.Connection call = peer.accept()) {
                    call.readBody(HALF_LENGTH);
                    rig.start(2, Optional.of(server));
                    rig.awaitMemberKnown("i-2");
                }
                out.write(toBytes(BODY.substring(HALF_LENGTH)));
                String response = ResponseReader.read(caller.getInputStream());
                assertTrue(response.endsWith("ok"), response);
                assertEquals(1, server.runs("s4"));
            }
        }
    }

    /** A caller that stalls in the middle of the body until its deadline gets a 503, and the request is not run. */
    @Test
    void requestWithIncompleteBodyAtDeadlineIsNotRun() throws IOException {
        try (NodeRig rig = startEntry();
                RawServer server = new RawServer(NodeRig::respondOk)) {
            rig.start(2, Optional.of(server));
            rig.awaitMemberKnown("i-2");
            try (Socket caller = connectCaller(rig)) {
                caller.getOutputStream().write(toBytes(requestHead("/pay/x", "s5") + BODY.substring(0, HALF_LENGTH)));
                String response = ResponseReader.read(caller.getInputStream());
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
                assertEquals(0, server.runs("s5"));
            }
        }
    }

    /**
     * A response that is ready before the request body has arrived is sent at once. The rest of that body must not be
     * taken for a request, and the next request on the connection is served.
     */
    @Test
    void connectionStaysUsableAfterResponseBeforeEndOfBody() throws IOException {
        try (NodeRig rig = startEntry();
                RawServer server = new RawServer(NodeRig::respondOk)) {
            rig.start(2, Optional.of(server));
            rig.awaitMemberKnown("i-2");
            try (Socket caller = connectCaller(rig)) {
                OutputStream out = caller.getOutputStream();
                out.write(toBytes(requestHead("/nowhere/x", "s6") + BODY.substring(0, HALF_LENGTH)));
                String notFound = ResponseReader.read(caller.getInputStream());
                assertTrue(notFound.startsWith("HTTP/1.1 404"), notFound);
                out.write(toBytes(BODY.substring(HALF_LENGTH) + NodeRig.request("GET", "/read/x", "s7", 2_000, "")));
                String response = ResponseReader.read(caller.getInputStream());
                assertTrue(response.endsWith("ok"), response);
                assertEquals(1, server.runs("s7"));
            }
        }
    }

    /** When a caller disconnects in the middle of the body, the attempt at the other node is cancelled. */
    @Test
    void callerDisconnectDuringUploadCancelsAttempt() throws IOException {
        try (NodeRig rig = startEntry();
                ScriptedPeer peer = new ScriptedPeer(rig)) {
            peer.announce(FAST_LINK_MBPS);
            Socket caller = connectCaller(rig);
            caller.getOutputStream().write(toBytes(requestHead("/pay/x", "s8") + BODY.substring(0, HALF_LENGTH)));
            try (ScriptedPeer.Connection call = peer.accept()) {
                call.readHead();
                call.readBody(HALF_LENGTH);
                caller.close();
                assertEquals(0, call.readBody(1).length, "the connection is still open");
            }
            Await.until(
                    "the log line of the abandoned call", () -> rig.logText().contains("CALL_ABANDONED"), rig::logText);
        }
    }
}
