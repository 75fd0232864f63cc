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

/** What callers are told, and how often a request is run, when a hop breaks at each point of an exchange. */
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

    /** An entry whose only members are the two backend servers beside other daemons. */
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
        // The caller gets 502 outcome-unknown without Retry-After: the server has read the head of the order and
        // resets before the body; it may have begun, so neither owner nor entry may send it again.
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
        // The caller gets 502 outcome-unknown: the server has the whole order and resets before it answers.
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
        // The caller gets 502 outcome-unknown: half a status line came back, which says nothing.
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
        // The caller gets its tile: the first server resets after the head, and as the route is idempotent the entry
        // asks the other one.
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
        // The caller gets its answer: nothing listens beside the first owner, whose refusal is proven not run.
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
        // The caller gets its answer: one member's daemon is gone but still announced.
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
        // The caller gets its answer: the announced address was taken over by the daemon of another service, which
        // refuses the instance that it is not; its backend server must not see the order.
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
        // The caller gets its answer: the first server sheds the order with x-shed and did not run it.
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
        // The caller gets 502 outcome-unknown: the connection between entry and owner is cut while the order runs.
        // The owner cannot say any more whether it did, so the entry must not send it to the other member.
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
        // The caller gets 502 outcome-unknown: the only server ran the read and reset, and then nothing could be
        // connected to any more. Saying "not run" for the last attempt would be untrue of the first.
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
        // The caller, which said it waits 0 ms, gets 503 not-run: its server never hears of the order.
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
        // Every caller gets its answer: one server is leaving but still announced as up; its owner refuses, and the
        // entry does not ask it again.
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
        assertTrue(entry.counterValue(CallMetrics.VERDICT + "RETRY") <= 1);
    }

    @Test
    void entryThatIsTheOwnerNeedsNoNetworkHop() {
        // The caller gets its answer although nobody can connect to the daemon's own address: it is its own owner.
        TestDaemon entry = cluster.addDaemon("a", "web", firstServer.address());
        cluster.announce("a", "web", new HostPort("127.0.0.1", 1));
        assertEquals("ok", send(entry, HttpMethod.POST, "/orders", "p-1").contentUtf8());
        firstServer.setScript((connection, request) -> connection.reset());
        assertEquals(
                502, send(entry, HttpMethod.POST, "/orders", "p-2").status().code());
        assertEquals(1, runCount("p-2"));
    }
}
