package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.berylwick.testing.TcpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies on each hop of a call that connections which permanently stop delivering data, while new connections work,
 * are detected and replaced.
 */
class SilenceTest {
    private static final String BODY = "amount=10";

    private final CallPathCluster cluster = new CallPathCluster(TestConfiguration.TOML);
    private final RawServer server = new RawServer();

    @AfterEach
    void close() {
        assertEquals(List.of(), cluster.breachedInvariants());
        cluster.close();
        server.close();
    }

    private static CompletableFuture<AggregatedHttpResponse> sendOrder(TestDaemon entry, String requestId) {
        return WebClient.builder("http://" + entry.callerAddress())
                .responseTimeoutMillis(60_000)
                .build()
                .execute(
                        RequestHeaders.builder(HttpMethod.POST, "/orders")
                                .set("host", "one.example")
                                .set("x-request-id", requestId)
                                .build(),
                        BODY)
                .aggregate();
    }

    @Test
    void silentPeerConnectionIsReplacedWhileRequestBodiesAreWritten() {
        // The network silently drops all traffic of the open connections between two daemons. Requests on them
        // must end with unknown outcome within their deadline and must not run twice. Later requests must succeed over
        // new connections, although request bodies keep being written to the silent connections.
        TestDaemon entry = cluster.addDaemon("entry", "none", server.address());
        TestDaemon owner = cluster.addDaemon("a", "web", server.address());
        try (TcpRelay relay = new TcpRelay(owner.peerAddress())) {
            cluster.announce("a", "web", relay.address());
            for (int i = 0; i < 40; i++) {
                assertEquals(
                        200, sendOrder(entry, "before-" + i).join().status().code());
            }
            relay.freezeOpen();
            int acceptedBeforeFreeze = relay.accepted();
            List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
            Await.until(
                    "requests are answered again",
                    () -> {
                        // Sends more often than any ping interval, as under load.
                        responses.add(sendOrder(entry, "during-" + responses.size()));
                        return responses.stream()
                                .anyMatch(response -> response.isDone()
                                        && response.join().status().code() == 200);
                    },
                    responses::size);
            assertTrue(relay.accepted() > acceptedBeforeFreeze, "connections accepted: " + relay.accepted());
            for (int i = 0; i < responses.size(); i++) {
                int status = responses.get(i).join().status().code();
                int runs = server.runs("during-" + i);
                assertTrue(status == 200 ? runs == 1 : runs <= 1, "during-" + i + " " + status + " runs " + runs);
            }
        }
    }

    @Test
    void idempotentRequestIsRetriedAfterSilentPeerConnection() {
        // The silent connection is closed and the attempt ends with unknown outcome. The request is idempotent, so it
        // is retried over a new connection and succeeds within its timeout of 10 s.
        TestDaemon entry = cluster.addDaemon("entry", "none", server.address());
        TestDaemon owner = cluster.addDaemon("a", "web", server.address());
        try (TcpRelay relay = new TcpRelay(owner.peerAddress())) {
            cluster.announce("a", "web", relay.address());
            WebClient client = WebClient.builder("http://" + entry.callerAddress())
                    .responseTimeoutMillis(60_000)
                    .build();
            RequestHeaders readHeaders = RequestHeaders.builder(HttpMethod.GET, "/tiles/1")
                    .set("host", "one.example")
                    .build();
            for (int i = 0; i < 40; i++) {
                client.execute(readHeaders).aggregate().join();
            }
            relay.freezeOpen();
            assertEquals(
                    200, client.execute(readHeaders).aggregate().join().status().code());
        }
    }

    @Test
    void silentServerConnectionIsClosedAtTheDeadlineAndNotReused() {
        // A request on the silent connection ends with unknown outcome at its deadline and runs at most once. The
        // connection is then closed and the next request succeeds over a new one.
        try (TcpRelay relay = new TcpRelay(server.address())) {
            TestDaemon entry = cluster.addMember("a", "web", relay.address());
            assertEquals(200, sendOrder(entry, "first").join().status().code());
            relay.freezeOpen();
            int unknownCount = 0;
            int status = 0;
            for (int i = 0; i < 4 && status != 200; i++) {
                status = sendOrder(entry, "next-" + i).join().status().code();
                unknownCount += status == 504 ? 1 : 0;
                assertTrue(server.runs("next-" + i) <= 1);
            }
            assertEquals(200, status);
            assertTrue(unknownCount <= 1, "requests with unknown outcome: " + unknownCount);
        }
    }
}
