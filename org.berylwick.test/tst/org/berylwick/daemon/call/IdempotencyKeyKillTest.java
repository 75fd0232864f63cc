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
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Place;
import org.berylwick.testing.DaemonProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a request with an idempotency key runs at most once if its entry daemon is killed meanwhile. */
class IdempotencyKeyKillTest {
    private static final String DECLARATIONS = """
            [[brand]]
            name = "kapitolyo"
            hosts = ["127.0.0.1"]

            [[service]]
            name = "bookings"

            [[service]]
            name = "edge"

            [[route]]
            name = "placements"
            path = "/placements"
            service = "bookings"

            [[policy]]
            name = "confirmations"
            class = "confirmation"
            timeout = "3s"
            idempotency_key = "required"
            """;

    /** Address of a backend server that is not there: the entry daemon only forwards. */
    private static final HostPort UNUSED = new HostPort("127.0.0.1", 9);

    private final HttpClient http = HttpClient.newHttpClient();

    @TempDir
    Path directory;

    private static HttpRequest keyedRequest(String callersAddress, String path, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + callersAddress + path))
                .header("idempotency-key", key)
                .timeout(Duration.ofSeconds(30))
                .POST(BodyPublishers.ofString("{}"))
                .build();
    }

    private String send(HttpRequest request) {
        try {
            HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the request succeeds. A daemon that has just started on a busy machine may close connections. */
    private boolean isServed(HttpRequest request) {
        try {
            return send(request).startsWith("200");
        } catch (IllegalStateException e) {
            return false;
        }
    }

    /**
     * The entry daemon of a request is killed while the request runs, and the caller repeats it through another daemon,
     * which finds the claim of the killed daemon in the store. The repeat must not be run, neither before nor after the
     * claim has expired, since the first request may have run.
     */
    @Test
    void repeatAfterEntryDaemonWasKilledIsNotRun() throws Exception {
        try (LocalFleet fleet = new LocalFleet()) {
            fleet.add(new Instance("b-1", "bookings", new Place("ncr", "quezon")));
            fleet.awaitAllUp(fleet.apply(DECLARATIONS));
            String otherCallersAddress = fleet.daemon("b-1").callersAddress().toString();
            try (DaemonProcess entry = DaemonProcess.start(
                    directory, "edge-1", "edge", UNUSED, fleet.platform().address())) {
                String callersAddress = entry.callersAddress();
                LocalFleet.await(
                        "the entry daemon responds to requests",
                        () -> isServed(keyedRequest(callersAddress, "/placements", "first-" + System.nanoTime())));
                CompletableFuture<HttpResponse<String>> first = http.sendAsync(
                        keyedRequest(callersAddress, "/placements?service_ms=1500", "killed"), BodyHandlers.ofString());
                LocalFleet.await("the backend server runs the request", () -> runsOfKilledKey(fleet) == 1);
                entry.kill();
                assertTrue(
                        first.handle((response, failure) -> failure != null).join(),
                        "the first request fails at the caller");
            }
            HttpRequest repeat = keyedRequest(otherCallersAddress, "/placements?service_ms=1500", "killed");
            assertTrue(send(repeat).startsWith("409"));
            LocalFleet.await("the claim has expired", () -> send(repeat).contains("key-outcome-unknown"));
            assertTrue(send(repeat).startsWith("409"));
            assertEquals(1, runsOfKilledKey(fleet));
            assertEquals(0, fleet.daemon("b-1").invariantBreaches());
        } finally {
            http.close();
        }
    }

    private static long runsOfKilledKey(LocalFleet fleet) {
        return fleet.backend("b-1").ledger().runsOfKey("killed");
    }
}
