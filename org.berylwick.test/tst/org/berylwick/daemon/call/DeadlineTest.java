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

/** Deadlines and cancellation reach the backend server, through both daemons and through calls ten deep. */
class DeadlineTest {
    private static final int DEPTH = 10;

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
    void callersTimeoutOnlyShortensThePolicys() {
        // The server is told the smaller of what the policy allows (5 s) and what the caller says.
        RawServer server = new RawServer();
        TestDaemon entry = rig.addDaemon("entry", "none", server.address());
        rig.addMember("a", "web", server.address());
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        for (long asked : new long[] {-1, 1_000, 60_000}) {
            client.execute(headers("/orders/1", "t" + asked, asked)).aggregate().join();
            long told = Long.parseLong(server.requests().getLast().header("x-request-timeout-ms"));
            long most = asked == 1_000 ? 1_000 : 5_000;
            assertTrue(told > 0 && told <= most, told + " of " + most);
        }
        server.close();
    }

    @Test
    void callerThatGoesAwayCancelsAtTheServer() throws IOException {
        // The caller closes its connection while the server works: the server's connection is closed at once, and
        // the order is not sent again.
        RawServer server = new RawServer((c, r) -> c.awaitClosedByPeer());
        TestDaemon entry = rig.addDaemon("entry", "none", server.address());
        rig.addMember("a", "web", server.address());
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.get("/orders/1", "x-request-id: gone\r\n");
            Await.until("the order runs", () -> server.runs("gone") == 1, () -> server.runs("gone"));
        }
        Await.until("cancelled at the server", () -> server.closedByPeer() == 1, server::closedByPeer);
        assertEquals(1, server.runs("gone"));
        server.close();
    }

    @Test
    void idempotentReadGivesUpASilentServerWhileThereIsTimeForAnother() {
        // The caller gets its tile within its 5 s although the only server known at first accepts everything and
        // never answers: the attempt there is given up and cancelled while there is time for the one that came up.
        RawServer silent = new RawServer((c, r) -> c.awaitClosedByPeer());
        RawServer healthy = new RawServer();
        TestDaemon entry = rig.addDaemon("entry", "none", silent.address());
        rig.addMember("a", "web", silent.address());
        CompletableFuture<AggregatedHttpResponse> answer = WebClient.builder("http://" + entry.callerAddress())
                .responseTimeoutMillis(60_000)
                .build()
                .execute(headers("/tiles/1", "s-1", 5_000))
                .aggregate();
        Await.until("the silent server has the read", () -> silent.runs("s-1") == 1, () -> silent.runs("s-1"));
        rig.addMember("b", "web", healthy.address());
        assertEquals(200, answer.join().status().code(), answer.join().contentUtf8());
        Await.until("cancelled at the silent one", () -> silent.closedByPeer() == 1, silent::closedByPeer);
        silent.close();
        healthy.close();
    }

    /** A backend server that passes each request on to its own daemon, as often as the path has segments left. */
    private HostPort chained(AtomicReference<HostPort> ownDaemon, List<Long> told, CompletableFuture<Void> last) {
        Server server = Server.builder()
                .http(new InetSocketAddress("127.0.0.1", 0))
                .requestTimeoutMillis(0)
                .serviceUnder("/", (ctx, request) -> pass(ctx, request, ownDaemon.get(), told, last))
                .build();
        server.start().join();
        servers.add(server);
        return new HostPort("127.0.0.1", server.activeLocalPort());
    }

    private static HttpResponse pass(
            ServiceRequestContext ctx,
            HttpRequest request,
            HostPort daemon,
            List<Long> told,
            CompletableFuture<Void> last) {
        told.add(request.headers().getLong("x-request-timeout-ms", -1));
        int depth = Integer.parseInt(ctx.path().substring(ctx.path().lastIndexOf('/') + 1));
        if (depth == 1) {
            CompletableFuture<HttpResponse> never = new CompletableFuture<>();
            HttpResponse response = HttpResponse.of(never);
            ctx.log().partial().channel().closeFuture().addListener(closed -> last.complete(null));
            return response;
        }
        RequestHeaders onwards =
                request.headers().toBuilder().path("/tiles/" + (depth - 1)).build();
        HttpResponse response = WebClient.builder("http://" + daemon)
                .responseTimeoutMillis(0)
                .build()
                .execute(onwards);
        // The server library waits a second before it ends the request of a closed connection.
        ctx.log().partial().channel().closeFuture().addListener(closed -> response.abort());
        return response;
    }

    private TestDaemon chain(List<Long> told, CompletableFuture<Void> last) {
        TestDaemon entry = rig.addDaemon("entry", "none", new HostPort("127.0.0.1", 1));
        for (String name : List.of("a", "b")) {
            AtomicReference<HostPort> own = new AtomicReference<>();
            TestDaemon daemon = rig.addMember(name, "web", chained(own, told, last));
            own.set(daemon.callerAddress());
        }
        return entry;
    }

    @Test
    void deadlineShrinksThroughCallsTenDeep() {
        // The caller waits 3 s; the tenth server is told at most what is left of that, each one no more than the one
        // before, and as it never answers the caller hears of it by its deadline.
        List<Long> told = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> last = new CompletableFuture<>();
        TestDaemon entry = chain(told, last);
        AggregatedHttpResponse answer = WebClient.of("http://" + entry.callerAddress())
                .execute(headers("/tiles/" + DEPTH, "deep-1", 3_000))
                .aggregate()
                .join();
        assertTrue(answer.status().isServerError(), answer.status().toString());
        // Repeats go on while this looks.
        List<Long> firstPass = List.copyOf(told).subList(0, DEPTH);
        for (int i = 1; i < DEPTH; i++) {
            assertTrue(firstPass.get(i) <= firstPass.get(i - 1), told.toString());
        }
        assertTrue(firstPass.getFirst() <= 3_000 && firstPass.getLast() > 0, told.toString());
    }

    @Test
    void cancellationReachesTheLastOfTenServers() throws IOException {
        // The caller goes away while the tenth server works: the tenth server's request is cancelled.
        List<Long> told = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> last = new CompletableFuture<>();
        TestDaemon entry = chain(told, last);
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.get("/tiles/" + DEPTH, "x-request-id: deep-2\r\n");
            Await.until("the tenth server works", () -> told.size() == DEPTH, told::toString);
        }
        Await.until("the tenth is cancelled", last::isDone, told::toString);
        assertEquals(DEPTH, told.size());
    }

    @Test
    void outageIsNotMultipliedByRetries() {
        // Every server resets every read: 100 callers cause no more runs than 100 and the share of retries, and each
        // is told at once.
        RawServer broken = new RawServer((c, r) -> c.reset());
        TestDaemon entry = rig.addDaemon("entry", "none", broken.address());
        rig.addMember("a", "web", broken.address());
        rig.addMember("b", "web", broken.address());
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        for (int i = 0; i < 100; i++) {
            AggregatedHttpResponse answer = client.execute(headers("/tiles/1", "out-" + i, -1))
                    .aggregate()
                    .join();
            assertEquals(502, answer.status().code());
            assertEquals("1", answer.headers().get("retry-after"));
        }
        int runs = broken.requests().size();
        assertTrue(runs >= 100 && runs <= 100 + 10 + 20, "runs " + runs);
        assertTrue(entry.counterValue(CallMetrics.VERDICT + "OVER_BUDGET") > 0);
        broken.close();
    }
}
