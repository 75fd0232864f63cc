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

/** Connections that go silent for good while new ones work are found and replaced, on each link of a call. */
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
        // The callers' orders go over connections that the network has lost track of. Each is told within its
        // deadline that the outcome is unknown, no order runs twice, and soon orders are answered again over new
        // connections, although orders with bodies keep being written to the silent ones.
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
                    "orders are answered again",
                    () -> {
                        // Faster than any ping interval, as under load.
                        responses.add(sendOrder(entry, "during-" + responses.size()));
                        return responses.stream()
                                .anyMatch(response -> response.isDone()
                                        && response.join().status().code() == 200);
                    },
                    responses::size);
            assertTrue(relay.accepted() > acceptedBeforeFreeze, "accepted " + relay.accepted());
            for (int i = 0; i < responses.size(); i++) {
                int status = responses.get(i).join().status().code();
                int runs = server.runs("during-" + i);
                assertTrue(status == 200 ? runs == 1 : runs <= 1, "during-" + i + " " + status + " runs " + runs);
            }
        }
    }

    @Test
    void idempotentRequestIsRetriedAfterSilentPeerConnection() {
        // The caller gets its tile within its 10 s: the silent connection is closed, the attempt ends as unknown, and
        // as the read is idempotent another attempt goes over a new connection.
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
        // The caller whose order meets the silent connection is told unknown by its deadline, and the order is not
        // doubled; the connection is closed, and the next order is answered over a new one.
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
            assertTrue(unknownCount <= 1, "unknown " + unknownCount);
        }
    }
}
