package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.util.List;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.testing.RawServer;
import org.berylwick.testing.TcpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies the reported outcome and the number of runs when a hop fails at different points of an exchange. */
class OutcomeTest {
    private static final String BODY = "amount=10";

    private final CallPathCluster cluster = new CallPathCluster(TestConfiguration.TOML);
    private final RawServer firstServer = new RawServer();
    private final RawServer secondServer = new RawServer();

    @AfterEach
    void close() {
        assertEquals(List.of(), cluster.breachedInvariants());
        cluster.close();
        firstServer.close();
        secondServer.close();
    }

    private static AggregatedHttpResponse send(TestDaemon entry, HttpMethod method, String path, String requestId) {
        RequestHeadersBuilder headers =
                RequestHeaders.builder(method, path).set("host", "one.example").set("x-request-id", requestId);
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        return method == HttpMethod.POST
                ? client.execute(headers.build(), BODY).aggregate().join()
                : client.execute(headers.build()).aggregate().join();
    }

    private int runCount(String requestId) {
        return firstServer.runs(requestId) + secondServer.runs(requestId);
    }

    /** Adds an entry, which does not own the service, and two members that do. */
    private TestDaemon addEntryAndTwoMembers() {
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        cluster.addMember("a", "web", firstServer.address());
        cluster.addMember("b", "web", secondServer.address());
        return entry;
    }

    private void setBothScripts(RawServer.Script script) {
        firstServer.setScript(script);
        secondServer.setScript(script);
    }

    @Test
    void serverResetAfterRequestHeadIsUnknownAndNotRetried() {
        // The server reads the head of a non-idempotent request and resets the connection before the body. The request
        // may have been started, so neither owner nor entry may retry; the caller gets 502 without Retry-After.
        TestDaemon entry = addEntryAndTwoMembers();
        setBothScripts((connection, request) -> connection.reset());
        AggregatedHttpResponse response = send(entry, HttpMethod.POST, "/orders", "o-1");
        assertEquals(502, response.status().code());
        assertTrue(response.contentUtf8().contains("outcome-unknown"), response.contentUtf8());
        assertFalse(response.headers().contains("retry-after"));
        assertEquals(1, runCount("o-1"));
    }

    @Test
    void serverResetAfterRequestBodyIsUnknownAndNotRetried() {
        // The server reads the whole request and resets the connection before it responds.
        TestDaemon entry = addEntryAndTwoMembers();
        setBothScripts((connection, request) -> {
            connection.read(BODY.length());
            connection.reset();
        });
        assertEquals(
                502, send(entry, HttpMethod.POST, "/orders", "o-2").status().code());
        assertEquals(1, runCount("o-2"));
    }

    @Test
    void truncatedResponseHeadIsUnknownAndNotRetried() {
        // The server sends part of a status line, which does not tell whether the request was run.
        TestDaemon entry = addEntryAndTwoMembers();
        setBothScripts((connection, request) -> {
            connection.read(BODY.length());
            connection.write("HTTP/1.1 200 O");
            connection.reset();
        });
        assertEquals(
                502, send(entry, HttpMethod.POST, "/orders", "o-3").status().code());
        assertEquals(1, runCount("o-3"));
    }

    @Test
    void idempotentRequestIsRetriedAfterUnknownOutcome() {
        // The first server resets the connection after the request head; the route is idempotent, so the entry retries
        // with the other member and the caller gets the response.
        TestDaemon entry = addEntryAndTwoMembers();
        RawServer.Script resetFirstRun = (connection, request) -> {
            if (runCount(request.id()) == 1) {
                connection.reset();
            } else {
                connection.answer(request, "tile");
            }
        };
        setBothScripts(resetFirstRun);
        AggregatedHttpResponse response = send(entry, HttpMethod.GET, "/tiles/1", "t-1");
        assertEquals("tile", response.contentUtf8());
        assertEquals(2, runCount("t-1"));
    }

    @Test
    void nonIdempotentRequestIsRetriedWhenServerIsUnreachable() {
        // Nothing listens at the address of the first backend server, so its owner can refuse the request as not run.
        firstServer.close();
        TestDaemon entry = addEntryAndTwoMembers();
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    200,
                    send(entry, HttpMethod.POST, "/orders", "c-" + i).status().code());
            assertEquals(1, runCount("c-" + i));
        }
    }

    @Test
    void nonIdempotentRequestIsRetriedWhenDaemonIsUnreachable() {
        // The daemon of one member no longer exists but is still announced.
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        cluster.addMember("b", "web", secondServer.address());
        cluster.announce("gone", "web", new HostPort("127.0.0.1", 1));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    200,
                    send(entry, HttpMethod.POST, "/orders", "d-" + i).status().code());
            assertEquals(1, runCount("d-" + i));
        }
    }

    @Test
    void nonIdempotentRequestIsRetriedWhenAddressBelongsToAnotherInstance() {
        // The announced address now belongs to the daemon of another service. That daemon must refuse requests for the
        // former instance, and its backend server must not receive them.
        RawServer otherServer = new RawServer();
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        TestDaemon newHolder = cluster.addDaemon("taken", "none", otherServer.address());
        cluster.addMember("b", "web", secondServer.address());
        cluster.announce("old", "web", newHolder.peerAddress());
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    200,
                    send(entry, HttpMethod.POST, "/orders", "w-" + i).status().code());
        }
        assertEquals(List.of(), otherServer.requests());
        otherServer.close();
    }

    @Test
    void nonIdempotentRequestIsRetriedWhenServerShedsIt() {
        // The first server sheds the request with an x-shed header and has not run it.
        TestDaemon entry = addEntryAndTwoMembers();
        RawServer.Script shedFirstRun = (connection, request) -> {
            connection.read(BODY.length());
            if (runCount(request.id()) == 1) {
                connection.write("HTTP/1.1 503 Busy\r\nx-shed: true\r\ncontent-length: 4\r\n\r\nbusy");
            } else {
                connection.answer(request, "booked");
            }
        };
        setBothScripts(shedFirstRun);
        assertEquals("booked", send(entry, HttpMethod.POST, "/orders", "s-1").contentUtf8());
    }

    @Test
    void connectionLossBetweenDaemonsIsUnknownAndNotRetried() throws IOException {
        // The connection between entry and owner is closed while the request runs. The owner can no longer report
        // whether it ran, so the entry must not retry; the caller gets 502 outcome-unknown.
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        TestDaemon owner = cluster.addDaemon("a", "web", firstServer.address());
        try (TcpRelay relay = new TcpRelay(owner.peerAddress())) {
            cluster.announce("a", "web", relay.address());
            firstServer.setScript((connection, request) -> {
                relay.cutOpen();
                connection.awaitClosedByPeer();
            });
            AggregatedHttpResponse response = send(entry, HttpMethod.POST, "/orders", "x-1");
            assertEquals(502, response.status().code());
            assertTrue(response.contentUtf8().contains("outcome-unknown"));
            assertEquals(1, runCount("x-1"));
        }
    }

    @Test
    void refusalAfterUnknownOutcomeIsNotReportedAsNotRun() {
        // The only server runs the request, resets the connection and stops listening. The retry is refused as not run,
        // but the first attempt may have run, so the caller must get outcome-unknown.
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        cluster.addMember("a", "web", firstServer.address());
        firstServer.setScript((connection, request) -> {
            firstServer.close();
            connection.reset();
        });
        AggregatedHttpResponse response = send(entry, HttpMethod.GET, "/tiles/2", "r-1");
        assertTrue(response.contentUtf8().contains("outcome-unknown"), response.contentUtf8());
        assertEquals("1", response.headers().get("retry-after"));
        assertEquals(1, runCount("r-1"));
    }

    @Test
    void expiredDeadlineIsRefusedWithoutRunning() {
        // The caller sets a timeout of 0 ms; it gets 503 and no server receives the request.
        TestDaemon entry = addEntryAndTwoMembers();
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        AggregatedHttpResponse response = client.execute(
                        RequestHeaders.builder(HttpMethod.POST, "/orders")
                                .set("host", "one.example")
                                .set("x-request-id", "z-1")
                                .set("x-request-timeout-ms", "0")
                                .build(),
                        BODY)
                .aggregate()
                .join();
        assertEquals(503, response.status().code());
        assertTrue(response.contentUtf8().contains("deadline"), response.contentUtf8());
        assertEquals(0, runCount("z-1"));
    }

    @Test
    void leavingMemberRefusesAndIsNotChosenAgain() {
        // One member is leaving but still announced as up. Its owner refuses the first request that it receives; the
        // entry retries with the other member and does not choose the leaving one again.
        TestDaemon entry = cluster.addDaemon("entry", "none", firstServer.address());
        TestDaemon leaving = cluster.addMember("a", "web", firstServer.address());
        cluster.addMember("b", "web", secondServer.address());
        leaving.state = Member.State.LEAVING;
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200,
                    send(entry, HttpMethod.POST, "/orders", "l-" + i).status().code());
        }
        assertEquals(List.of(), firstServer.requests());
        assertEquals(
                Member.State.LEAVING,
                entry.membership.view().find("a").orElseThrow().state());
        assertTrue(entry.counterValue(CallMetrics.RETRY_VERDICT_PREFIX + "RETRY") <= 1);
    }

    @Test
    void entryThatIsTheOwnerNeedsNoNetworkHop() {
        // The entry is the owner itself, so it succeeds although its announced address accepts no connections.
        TestDaemon entry = cluster.addDaemon("a", "web", firstServer.address());
        cluster.announce("a", "web", new HostPort("127.0.0.1", 1));
        assertEquals("ok", send(entry, HttpMethod.POST, "/orders", "p-1").contentUtf8());
        firstServer.setScript((connection, request) -> connection.reset());
        assertEquals(
                502, send(entry, HttpMethod.POST, "/orders", "p-2").status().code());
        assertEquals(1, runCount("p-2"));
    }
}
