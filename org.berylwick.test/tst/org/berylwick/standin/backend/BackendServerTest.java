package org.berylwick.standin.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.lib.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private static final int SLOTS = 2;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final RunLedger ledger = new RunLedger();
    private final BackendServer server =
            new BackendServer("b-1", new HostPort("127.0.0.1", 0), BackendOptions.DEFAULT.withSlots(SLOTS), ledger);

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        http.close();
        server.close();
    }

    private HttpRequest.Builder request(String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
                .header("x-request-id", id);
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    @Test
    void moreRequestsThanSlotsAreShedAndNotRun() throws Exception {
        CompletableFuture<HttpResponse<byte[]>> first =
                http.sendAsync(request("/a?service_ms=60000", "1").build(), HttpResponse.BodyHandlers.ofByteArray());
        CompletableFuture<HttpResponse<byte[]>> second =
                http.sendAsync(request("/a?service_ms=60000", "2").build(), HttpResponse.BodyHandlers.ofByteArray());
        LocalFleet.await("all slots taken", () -> ledger.totals().runs() == SLOTS);
        HttpResponse<byte[]> third = send(request("/a", "3"));
        assertEquals(503, third.statusCode());
        assertEquals("true", third.headers().firstValue("x-shed").orElse(""));
        assertEquals(0, ledger.runsOf("3"));
        first.cancel(true);
        second.cancel(true);
        LocalFleet.await("cancelled work is stopped", () -> ledger.totals().cancelled() == SLOTS && server.busy() == 0);
    }

    @Test
    void workStopsAtTheRequestsOwnDeadline() throws Exception {
        HttpResponse<byte[]> answer = send(request("/a?service_ms=600000", "1").header("x-request-timeout-ms", "50"));
        assertEquals(504, answer.statusCode());
        LocalFleet.await("stopped", () -> server.busy() == 0);
        assertEquals(1, ledger.totals().expired());
    }

    @Test
    void runsAreCountedByIdAndByKey() throws Exception {
        send(request("/a", "1").header("idempotency-key", "k"));
        send(request("/a", "2").header("idempotency-key", "k"));
        assertEquals(1, ledger.runsOf("1"));
        assertEquals(2, ledger.runsOfKey("k"));
        assertEquals(1, ledger.totals().doubledKeys().size());
    }

    @Test
    void everyByteOfALargeBodyAndOfItsRangesFollowsFromThePath() throws Exception {
        int length = 300_001;
        Content content = new Content("/art/1");
        HttpResponse<byte[]> whole = send(request("/art/1?bytes=" + length, "1"));
        assertEquals(length, whole.body().length);
        assertEquals(-1, content.firstWrong(whole.body(), 0));
        String etag = whole.headers().firstValue("etag").orElse("");
        HttpResponse<byte[]> rest = send(request("/art/1?bytes=" + length, "2")
                .header("range", "bytes=100003-")
                .header("if-range", etag));
        assertEquals(206, rest.statusCode());
        assertEquals(length - 100_003, rest.body().length);
        assertEquals(-1, content.firstWrong(rest.body(), 100_003));
        HttpResponse<byte[]> changed = send(request("/art/1?bytes=" + length, "3")
                .header("range", "bytes=100003-")
                .header("if-range", "\"other\""));
        assertEquals(200, changed.statusCode());
    }

    @Test
    void answersAreTruncatedCrossedLostAndDoubledOnDemand() throws Exception {
        server.faults().spoilNext(AnswerFault.TRUNCATED, 1);
        assertThrows(IOException.class, () -> send(request("/art/1?bytes=300000", "1")));
        HttpResponse<byte[]> crossed = send(request("/a", "2").header("x-standin-fault", "crossed"));
        assertTrue(!"2".equals(crossed.headers().firstValue("x-request-id").orElse("")));
        // The client itself repeats a GET whose connection closed, so that only a POST shows the loss.
        HttpRequest.Builder post = request("/a", "3").POST(HttpRequest.BodyPublishers.ofString("order"));
        assertThrows(IOException.class, () -> send(post.header("x-standin-fault", "lost")));
        assertEquals(1, ledger.runsOf("3"));
        LocalFleet.await("the slots of cut answers are free again", () -> server.busy() == 0);
        HttpResponse<byte[]> doubled = send(request("/a", "4").header("x-standin-fault", "doubled"));
        assertEquals(200, doubled.statusCode());
        assertEquals(1, server.faults().struck(AnswerFault.DOUBLED));
    }

    @Test
    void drainingShowsAfterItsLagAndRunsThatBeginLateAreCounted() throws Exception {
        server.faults().setDraining(true);
        HttpResponse<byte[]> health = send(request("/health", "1"));
        assertEquals(503, health.statusCode());
        assertEquals("{\"status\":\"draining\"}", new String(health.body(), StandardCharsets.UTF_8));
        assertEquals(200, send(request("/a", "2")).statusCode());
        assertEquals(0, ledger.totals().lateStarts(), "begun within the grace time");
        server.faults().setHealth(BackendFaults.Health.WELL, Duration.ZERO);
        assertEquals(200, send(request("/health", "3")).statusCode());
    }
}
