package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.lib.Place;
import org.berylwick.standin.backend.AnswerFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests {@code Idempotency-Key} with two daemons; the ledgers of the backend servers count the actual runs. */
class IdempotencyKeyTest {
    private static final List<String> INSTANCES = List.of("b-1", "b-2");
    private static final int REQUESTS_PER_KEY = 12;
    private static final int CONTENDED_KEYS = 10;
    private static final int LARGE_BYTES = 20_000;
    private static final String DECLARATIONS = """
            [[brand]]
            name = "kapitolyo"
            hosts = ["127.0.0.1"]

            [[brand]]
            name = "poblacion"
            hosts = ["localhost"]

            [[service]]
            name = "bookings"

            [[route]]
            name = "placements"
            labels = { kind = "confirmation" }
            path = "/placements"
            service = "bookings"

            [[route]]
            name = "refunds"
            labels = { kind = "refund" }
            path = "/refunds"
            service = "bookings"

            [[policy]]
            name = "confirmations"
            routes = "kind = confirmation"
            class = "confirmation"
            timeout = "10s"
            max_attempts = 2
            idempotency_key = "optional"

            [[route]]
            name = "extensions"
            labels = { kind = "extension" }
            path = "/extensions"
            service = "bookings"

            [[policy]]
            name = "extensions"
            routes = "kind = extension"
            class = "confirmation"
            timeout = "10s"
            max_attempts = 3
            idempotent = true
            idempotency_key = "optional"

            [[policy]]
            name = "refunds"
            routes = "kind = refund"
            class = "confirmation"
            timeout = "10s"
            idempotency_key = "required"
            """;

    private static LocalFleet fleet;
    private static HttpClient http;

    @BeforeAll
    static void startFleet() {
        fleet = new LocalFleet();
        http = HttpClient.newHttpClient();
        for (String name : INSTANCES) {
            fleet.add(new Instance(name, "bookings", new Place("ncr", "quezon")));
        }
        fleet.awaitAllUp(fleet.apply(DECLARATIONS));
    }

    @AfterAll
    static void stopFleet() {
        http.close();
        fleet.close();
    }

    @AfterEach
    void clearFaults() {
        fleet.platform().faults().clear();
        INSTANCES.forEach(i -> fleet.backend(i).faults().setShedding(false));
        long breaches = INSTANCES.stream()
                .mapToLong(i -> fleet.daemon(i).invariantBreaches())
                .sum();
        assertEquals(0, breaches, "invariant breaches in the daemons");
    }

    private static HttpRequest.Builder request(String host, int daemonIndex, String path) {
        int port = fleet.daemon(INSTANCES.get(daemonIndex)).callersAddress().port();
        return HttpRequest.newBuilder(URI.create("http://" + host + ":" + port + path))
                .timeout(Duration.ofSeconds(30));
    }

    private static HttpRequest keyedRequest(int daemonIndex, String path, String key, String body) {
        return request("127.0.0.1", daemonIndex, path)
                .header("idempotency-key", key)
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    private static HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return http.send(request, BodyHandlers.ofString());
    }

    /** Repeats the request until the outcome of the first one is recorded; returns the last response. */
    private static HttpResponse<String> sendUntilRecorded(HttpRequest request) {
        List<HttpResponse<String>> responses = new ArrayList<>();
        LocalFleet.await("the outcome of the first request is recorded", () -> {
            try {
                responses.add(send(request));
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return !responses.getLast().body().contains("key-in-progress");
        });
        return responses.getLast();
    }

    private static long runsOfKey(String key) {
        return INSTANCES.stream()
                .mapToLong(i -> fleet.backend(i).ledger().runsOfKey(key))
                .sum();
    }

    private static long keyWrites() {
        return fleet.platform().counter().counts().bySegment().getOrDefault("write keys", 0L);
    }

    private static Optional<String> header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name);
    }

    @Test
    void repeatThroughAnotherDaemonReceivesFirstResponse() throws Exception {
        HttpResponse<String> first = send(keyedRequest(0, "/placements", "repeat", "{}"));
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, "/placements", "repeat", "{}"));
        assertEquals(200, first.statusCode(), first.body());
        assertEquals(200, second.statusCode(), second.body());
        assertEquals(first.body(), second.body());
        assertEquals(Optional.of("true"), header(second, "idempotency-replayed"));
        assertEquals(Optional.empty(), header(first, "idempotency-replayed"));
        assertEquals(1, runsOfKey("repeat"));
    }

    /**
     * Several requests with the same key arrive at both daemons at the same time, as if a caller whose connection
     * stalls kept retrying. Both daemons find the key unclaimed; without the conditional write to the store, both would
     * run a request.
     */
    @Test
    void concurrentRequestsWithOneKeyRunOnce() {
        for (int k = 0; k < CONTENDED_KEYS; k++) {
            String key = "race-" + k;
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int i = 0; i < REQUESTS_PER_KEY; i++) {
                sent.add(http.sendAsync(keyedRequest(i % 2, "/placements", key, "{}"), BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> response : sent) {
                int status = response.join().statusCode();
                assertTrue(status == 200 || status == 409, response.join().body());
            }
            assertEquals(1, runsOfKey(key), key);
        }
    }

    @Test
    void differentRequestWithUsedKeyIsRejected() throws Exception {
        send(keyedRequest(0, "/placements", "reused", "{\"panel\": 1}"));
        HttpResponse<String> other = send(keyedRequest(1, "/placements", "reused", "{\"panel\": 2}"));
        assertEquals(422, other.statusCode(), other.body());
        assertEquals(1, runsOfKey("reused"));
    }

    @Test
    void keysOfDifferentBrandsAreIndependent() throws Exception {
        send(keyedRequest(0, "/placements", "brands", "{}"));
        HttpResponse<String> other = send(request("localhost", 0, "/placements")
                .header("idempotency-key", "brands")
                .POST(BodyPublishers.ofString("{}"))
                .build());
        assertEquals(200, other.statusCode(), other.body());
        assertEquals(Optional.empty(), header(other, "idempotency-replayed"));
        assertEquals(2, runsOfKey("brands"));
    }

    @Test
    void missingAndInvalidKeysAreRejectedWhereRequired() throws Exception {
        HttpResponse<String> responseWithoutKey = send(request("127.0.0.1", 0, "/refunds")
                .POST(BodyPublishers.noBody())
                .build());
        assertEquals(400, responseWithoutKey.statusCode());
        assertTrue(
                responseWithoutKey.body().contains("policy refunds requires the header Idempotency-Key"),
                responseWithoutKey.body());
        assertEquals(400, send(keyedRequest(0, "/refunds", "x".repeat(300), "")).statusCode());
        HttpRequest requestWithTwoKeys = request("127.0.0.1", 0, "/refunds")
                .header("idempotency-key", "a")
                .header("idempotency-key", "b")
                .POST(BodyPublishers.noBody())
                .build();
        assertEquals(400, send(requestWithTwoKeys).statusCode());
        HttpResponse<String> responseOfOptionalRoute = send(request("127.0.0.1", 0, "/placements")
                .POST(BodyPublishers.noBody())
                .build());
        assertEquals(200, responseOfOptionalRoute.statusCode());
    }

    /**
     * During a store outage a daemon cannot know whether a key has been used. The request must be refused as not run,
     * with {@code Retry-After}, and must run when it is repeated after the outage.
     */
    @Test
    void keyedRequestIsRefusedAsNotRunDuringStoreOutage() throws Exception {
        fleet.platform().faults().startOutage(Duration.ofMinutes(1));
        HttpResponse<String> refused = send(keyedRequest(0, "/placements", "outage", "{}"));
        assertEquals(503, refused.statusCode());
        assertTrue(refused.body().contains("store-unavailable"), refused.body());
        assertTrue(header(refused, "retry-after").isPresent());
        assertEquals(0, runsOfKey("outage"));
        fleet.platform().faults().endOutage();
        assertEquals(200, send(keyedRequest(1, "/placements", "outage", "{}")).statusCode());
        assertEquals(1, runsOfKey("outage"));
    }

    /**
     * The store writes the claim and then the outcome, but both of its responses are lost. The daemon must read the
     * slot again, recognize its own claim and run the request; the caller must not be affected.
     */
    @Test
    void lostStoreResponsesAreResolvedByReading() throws Exception {
        fleet.platform().faults().loseAnswers(2, false);
        HttpResponse<String> first = send(keyedRequest(0, "/placements", "lost", "{}"));
        assertEquals(200, first.statusCode(), first.body());
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, "/placements", "lost", "{}"));
        assertEquals(first.body(), second.body());
        assertEquals(1, runsOfKey("lost"));
    }

    /**
     * The backend server runs the request but its response is lost, so the first request fails with an unknown outcome.
     * A repeat must not be run, and is rejected as a conflict with an unknown outcome.
     */
    @Test
    void repeatAfterUnknownOutcomeIsNotRun() throws Exception {
        INSTANCES.forEach(i -> fleet.backend(i).faults().spoilNext(AnswerFault.LOST, 1));
        HttpResponse<String> first = send(keyedRequest(0, "/placements", "unknown", "{}"));
        assertEquals(502, first.statusCode(), first.body());
        INSTANCES.forEach(i -> fleet.backend(i).faults().spoilNext(AnswerFault.LOST, 0));
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, "/placements", "unknown", "{}"));
        assertEquals(409, second.statusCode());
        assertTrue(second.body().contains("key-outcome-unknown"), second.body());
        assertEquals(1, runsOfKey("unknown"));
    }

    /**
     * The policy of the route is idempotent, so a request whose response was lost would normally be retried. With an
     * idempotency key it must not be: the caller asked for a single run.
     */
    @Test
    void keyedRequestIsNotRetriedUnderIdempotentPolicy() throws Exception {
        INSTANCES.forEach(i -> fleet.backend(i).faults().spoilNext(AnswerFault.LOST, 1));
        HttpResponse<String> first = send(keyedRequest(0, "/extensions", "idempotent", "{}"));
        INSTANCES.forEach(i -> fleet.backend(i).faults().spoilNext(AnswerFault.LOST, 0));
        assertEquals(502, first.statusCode(), first.body());
        assertEquals(1, runsOfKey("idempotent"));
    }

    /**
     * The caller's connection is lost while its request runs, and the caller repeats the request. The first request
     * must not be cancelled, since its outcome would then be unknown; its response must be stored for the repeat.
     */
    @Test
    void repeatAfterCallerDisconnectReceivesFirstResponse() throws Exception {
        String path = "/placements?service_ms=800";
        try (HttpClient disconnectingClient = HttpClient.newHttpClient()) {
            disconnectingClient.sendAsync(keyedRequest(0, path, "left", "{}"), BodyHandlers.ofString());
            LocalFleet.await("the backend server runs the request", () -> runsOfKey("left") == 1);
            disconnectingClient.shutdownNow();
        }
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, path, "left", "{}"));
        assertEquals(200, second.statusCode(), second.body());
        assertEquals(Optional.of("true"), header(second, "idempotency-replayed"));
        assertEquals(1, runsOfKey("left"));
    }

    @Test
    void requestThatWasNotRunReleasesItsKey() throws Exception {
        INSTANCES.forEach(i -> fleet.backend(i).faults().setShedding(true));
        HttpResponse<String> first = send(keyedRequest(0, "/placements", "shed", "{}"));
        assertEquals(503, first.statusCode(), first.body());
        INSTANCES.forEach(i -> fleet.backend(i).faults().setShedding(false));
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, "/placements", "shed", "{}"));
        assertEquals(200, second.statusCode(), second.body());
        assertEquals(1, runsOfKey("shed"));
    }

    @Test
    void largeResponseIsDeliveredButNotStoredForRepeats() throws Exception {
        String path = "/placements?bytes=" + LARGE_BYTES;
        HttpResponse<byte[]> first = http.send(keyedRequest(0, path, "large", "{}"), BodyHandlers.ofByteArray());
        assertEquals(LARGE_BYTES, first.body().length);
        HttpResponse<String> second = sendUntilRecorded(keyedRequest(1, path, "large", "{}"));
        assertEquals(409, second.statusCode());
        assertTrue(second.body().contains("key-already-run"), second.body());
        assertEquals(1, runsOfKey("large"));
    }

    /**
     * A store outage prevents the entry daemon from recording the outcome. The caller must receive its response
     * nevertheless. Repeats are told that the first request is in progress until the outcome is recorded.
     */
    @Test
    void responseIsDeliveredBeforeItsOutcomeIsRecorded() throws Exception {
        CompletableFuture<HttpResponse<String>> first = http.sendAsync(
                keyedRequest(0, "/placements?service_ms=500", "late-record", "{}"), BodyHandlers.ofString());
        LocalFleet.await("the backend server runs the request", () -> runsOfKey("late-record") == 1);
        long keyWritesBefore = keyWrites();
        fleet.platform().faults().startOutage(Duration.ofMinutes(1));
        assertEquals(200, first.join().statusCode(), first.join().body());
        LocalFleet.await("recording the outcome is attempted during the outage", () -> keyWrites() > keyWritesBefore);
        fleet.platform().faults().endOutage();
        HttpResponse<String> second =
                sendUntilRecorded(keyedRequest(1, "/placements?service_ms=500", "late-record", "{}"));
        assertEquals(first.join().body(), second.body());
        assertEquals(1, runsOfKey("late-record"));
    }
}
