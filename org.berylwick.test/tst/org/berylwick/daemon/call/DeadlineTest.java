package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.lib.HostPort;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that deadlines and cancellation propagate to backend servers, also through a chain of ten calls. */
class DeadlineTest {
    private static final int CHAIN_LENGTH = 10;

    private final CallPathCluster rig = new CallPathCluster(TestConfiguration.TOML);
    private final List<Server> servers = new ArrayList<>();

    @AfterEach
    void close() {
        assertEquals(List.of(), rig.breachedInvariants());
        rig.close();
        servers.forEach(Server::stop);
    }

    private static RequestHeaders headers(String path, String id, long timeoutMillis) {
        RequestHeadersBuilder headers = RequestHeaders.builder(HttpMethod.GET, path)
                .set("host", "one.example")
                .set("x-request-id", id);
        if (timeoutMillis >= 0) {
            headers.setLong("x-request-timeout-ms", timeoutMillis);
        }
        return headers.build();
    }

    @Test
    void callerTimeoutCanOnlyShortenPolicyTimeout() {
        // The timeout sent to the server is at most the smaller of the policy's (5 s) and the caller's.
        RawServer server = new RawServer();
        TestDaemon entry = rig.addDaemon("entry", "none", server.address());
        rig.addMember("a", "web", server.address());
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        for (long callerTimeoutMillis : new long[] {-1, 1_000, 60_000}) {
            client.execute(headers("/orders/1", "t" + callerTimeoutMillis, callerTimeoutMillis))
                    .aggregate()
                    .join();
            long receivedTimeout = Long.parseLong(server.requests().getLast().header("x-request-timeout-ms"));
            long limit = callerTimeoutMillis == 1_000 ? 1_000 : 5_000;
            assertTrue(receivedTimeout > 0 && receivedTimeout <= limit, receivedTimeout + " of " + limit);
        }
        server.close();
    }

    @Test
    void callerDisconnectCancelsRequestAtBackendServer() throws IOException {
        // The caller closes its connection while the server processes its request. The connection to the server must be
        // closed as well, and the request must not be sent again.
        RawServer server = new RawServer((c, r) -> c.awaitClosedByPeer());
        TestDaemon entry = rig.addDaemon("entry", "none", server.address());
        rig.addMember("a", "web", server.address());
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.get("/orders/1", "x-request-id: gone\r\n");
            Await.until(
                    "the server has received the request", () -> server.runs("gone") == 1, () -> server.runs("gone"));
        }
        Await.until("the request is cancelled at the server", () -> server.closedByPeer() == 1, server::closedByPeer);
        assertEquals(1, server.runs("gone"));
        server.close();
    }

    @Test
    void idempotentReadIsRetriedBeforeDeadlineIfServerIsSilent() {
        // The only server known at first accepts requests but never responds. The attempt must be cancelled early
        // enough
        // to retry at a server that starts later, within the caller's timeout of 5 s.
        RawServer silentServer = new RawServer((c, r) -> c.awaitClosedByPeer());
        RawServer healthyServer = new RawServer();
        TestDaemon entry = rig.addDaemon("entry", "none", silentServer.address());
        rig.addMember("a", "web", silentServer.address());
        CompletableFuture<AggregatedHttpResponse> response = WebClient.builder("http://" + entry.callerAddress())
                .responseTimeoutMillis(60_000)
                .build()
                .execute(headers("/tiles/1", "s-1", 5_000))
                .aggregate();
        Await.until(
                "the silent server has received the request",
                () -> silentServer.runs("s-1") == 1,
                () -> silentServer.runs("s-1"));
        rig.addMember("b", "web", healthyServer.address());
        assertEquals(200, response.join().status().code(), response.join().contentUtf8());
        Await.until(
                "the request is cancelled at the silent server",
                () -> silentServer.closedByPeer() == 1,
                silentServer::closedByPeer);
        silentServer.close();
        healthyServer.close();
    }

    /**
     * Starts a backend server that forwards each request to its own daemon until the number at the end of the path,
     * which is decremented by each call, has reached 1. The last request of the chain gets no response.
     */
    private HostPort startChainedServer(
            AtomicReference<HostPort> ownDaemon, List<Long> receivedTimeouts, CompletableFuture<Void> lastCancelled) {
        Server server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", 0))
                .requestTimeoutMillis(0)
                .serviceUnder(
                        "/",
                        (ctx, request) ->
                                forwardToDaemon(ctx, request, ownDaemon.get(), receivedTimeouts, lastCancelled))
                .build();
        server.start().join();
        servers.add(server);
        return new HostPort("127.0.0.1", server.activeLocalPort());
    }

    private static HttpResponse forwardToDaemon(
            ServiceRequestContext ctx,
            HttpRequest request,
            HostPort daemon,
            List<Long> receivedTimeouts,
            CompletableFuture<Void> lastCancelled) {
        receivedTimeouts.add(request.headers().getLong("x-request-timeout-ms", -1));
        int remainingCalls = Integer.parseInt(ctx.path().substring(ctx.path().lastIndexOf('/') + 1));
        if (remainingCalls == 1) {
            CompletableFuture<HttpResponse> never = new CompletableFuture<>();
            HttpResponse response = HttpResponse.of(never);
            ctx.log().partial().channel().closeFuture().addListener(closed -> lastCancelled.complete(null));
            return response;
        }
        RequestHeaders forwardedHeaders = request.headers().toBuilder()
                .path("/tiles/" + (remainingCalls - 1))
                .build();
        HttpResponse response = WebClient.builder("http://" + daemon)
                .responseTimeoutMillis(0)
                .build()
                .execute(forwardedHeaders);
        // The server library waits one second before it aborts the request of a closed connection.
        ctx.log().partial().channel().closeFuture().addListener(closed -> response.abort());
        return response;
    }

    private TestDaemon startChain(List<Long> receivedTimeouts, CompletableFuture<Void> lastCancelled) {
        TestDaemon entry = rig.addDaemon("entry", "none", new HostPort("127.0.0.1", 1));
        for (String name : List.of("a", "b")) {
            AtomicReference<HostPort> ownDaemon = new AtomicReference<>();
            TestDaemon daemon =
                    rig.addMember(name, "web", startChainedServer(ownDaemon, receivedTimeouts, lastCancelled));
            ownDaemon.set(daemon.callerAddress());
        }
        return entry;
    }

    @Test
    void deadlineNeverGrowsAlongChainOfTenCalls() {
        // The caller's timeout is 3 s. Each server in the chain must receive a timeout no longer than that of the
        // server
        // before it. The last server never responds, so the caller must receive an error.
        List<Long> receivedTimeouts = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> lastCancelled = new CompletableFuture<>();
        TestDaemon entry = startChain(receivedTimeouts, lastCancelled);
        AggregatedHttpResponse response = WebClient.of("http://" + entry.callerAddress())
                .execute(headers("/tiles/" + CHAIN_LENGTH, "deep-1", 3_000))
                .aggregate()
                .join();
        assertTrue(response.status().isServerError(), response.status().toString());
        // Retries may still be adding timeouts to the list.
        List<Long> firstAttempts = List.copyOf(receivedTimeouts).subList(0, CHAIN_LENGTH);
        for (int i = 1; i < CHAIN_LENGTH; i++) {
            assertTrue(firstAttempts.get(i) <= firstAttempts.get(i - 1), receivedTimeouts.toString());
        }
        assertTrue(firstAttempts.getFirst() <= 3_000 && firstAttempts.getLast() > 0, receivedTimeouts.toString());
    }

    @Test
    void cancellationReachesLastServerOfChain() throws IOException {
        // The caller disconnects while the last server of the chain processes the request, which must be cancelled.
        List<Long> receivedTimeouts = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> lastCancelled = new CompletableFuture<>();
        TestDaemon entry = startChain(receivedTimeouts, lastCancelled);
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.get("/tiles/" + CHAIN_LENGTH, "x-request-id: deep-2\r\n");
            Await.until(
                    "the last server has received the request",
                    () -> receivedTimeouts.size() == CHAIN_LENGTH,
                    receivedTimeouts::toString);
        }
        Await.until("the request is cancelled at the last server", lastCancelled::isDone, receivedTimeouts::toString);
        assertEquals(CHAIN_LENGTH, receivedTimeouts.size());
    }

    @Test
    void retriesDuringOutageAreLimitedByBudget() {
        // All servers reset every connection. The number of requests they receive for 100 calls must not exceed 100
        // plus
        // the retry budget, and each call must fail with 502.
        RawServer resettingServer = new RawServer((c, r) -> c.reset());
        TestDaemon entry = rig.addDaemon("entry", "none", resettingServer.address());
        rig.addMember("a", "web", resettingServer.address());
        rig.addMember("b", "web", resettingServer.address());
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        for (int i = 0; i < 100; i++) {
            AggregatedHttpResponse response = client.execute(headers("/tiles/1", "out-" + i, -1))
                    .aggregate()
                    .join();
            assertEquals(502, response.status().code());
            assertEquals("1", response.headers().get("retry-after"));
        }
        int runs = resettingServer.requests().size();
        assertTrue(runs >= 100 && runs <= 100 + 10 + 20, "runs " + runs);
        assertTrue(entry.counterValue(CallMetrics.RETRY_VERDICT_PREFIX + "OVER_BUDGET") > 0);
        resettingServer.close();
    }
}
