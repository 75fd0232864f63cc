package org.berylwick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.lib.Place;
import org.berylwick.standin.backend.BackendFaults;
import org.junit.jupiter.api.Test;

class DrainingBackendServerTest {
    private static final String DECLARATIONS = """
            [[brand]]
            name = "shop"
            hosts = ["127.0.0.1"]
            labels = { tier = "partner" }

            [[service]]
            name = "tiles"

            [[route]]
            name = "read"
            labels = { kind = "read" }
            brands = "tier = partner"
            path = "/tiles"
            methods = ["GET"]
            service = "tiles"

            [[policy]]
            name = "reads"
            routes = "kind = read"
            class = "read"
            timeout = "5s"
            idempotent = true
            """;

    /** Guards against a daemon that goes by the health endpoint alone, and that never takes a replacement back in. */
    @Test
    void backendServerThatStatesThatItLeavesGetsNoRequestsUntilItIsReplaced() throws Exception {
        try (LocalFleet fleet = new LocalFleet();
                HttpClient http = HttpClient.newHttpClient()) {
            fleet.add(new FleetPlan.Instance("t-1", "tiles", new Place("here", "a")));
            fleet.add(new FleetPlan.Instance("t-2", "tiles", new Place("here", "a")));
            fleet.awaitAllUp(fleet.apply(DECLARATIONS));
            fleet.backend("t-1").faults().setLeaveStated(true);
            get(http, fleet, 20);
            LocalFleet.await(
                    "both daemons know one member up",
                    () -> fleet.daemon("t-1").membersUp() == 1
                            && fleet.daemon("t-2").membersUp() == 1);
            fleet.backend("t-1").faults().setLeaveStated(false);
            long before = fleet.backend("t-1").ledger().totals().runs();
            Thread.sleep(2_000);
            get(http, fleet, 20);
            assertEquals(before, fleet.backend("t-1").ledger().totals().runs());
            // The process ends, and another one takes its place.
            fleet.backend("t-1").faults().setHealth(BackendFaults.Health.SILENT, Duration.ZERO);
            Thread.sleep(2_500);
            fleet.backend("t-1").faults().setHealth(BackendFaults.Health.TRUE, Duration.ZERO);
            LocalFleet.await(
                    "both daemons know two members up",
                    () -> fleet.daemon("t-1").membersUp() == 2
                            && fleet.daemon("t-2").membersUp() == 2);
        }
    }

    private static void get(HttpClient http, LocalFleet fleet, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            URI uri = URI.create("http://" + fleet.daemon("t-1").callersAddress() + "/tiles/" + i);
            HttpResponse<String> answer =
                    http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
            assertEquals(200, answer.statusCode(), answer.body());
        }
    }

    @Test
    void aBackendServerThatSaysThatItDrainsIsGivenNoNewWork() throws Exception {
        // A backend server of two begins to drain by itself and says so on its health endpoint; nobody tells its
        // daemon. Callers go on being sent there, and their requests are cut when it ends. Its daemon must announce
        // it as leaving, so that within seconds all new requests reach the other one.
        try (LocalFleet fleet = new LocalFleet();
                HttpClient http = HttpClient.newHttpClient()) {
            fleet.add(new FleetPlan.Instance("t-1", "tiles", new Place("here", "a")));
            fleet.add(new FleetPlan.Instance("t-2", "tiles", new Place("here", "a")));
            fleet.awaitAllUp(fleet.apply(DECLARATIONS));
            fleet.backend("t-1").faults().setDraining(true);
            LocalFleet.await(
                    "both daemons know one member up",
                    () -> fleet.daemon("t-1").membersUp() == 1
                            && fleet.daemon("t-2").membersUp() == 1);
            long before = fleet.backend("t-1").ledger().totals().runs();
            for (int i = 0; i < 20; i++) {
                URI uri = URI.create("http://" + fleet.daemon("t-1").callersAddress() + "/tiles/" + i);
                HttpResponse<String> answer =
                        http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
                assertEquals(200, answer.statusCode(), answer.body());
            }
            assertEquals(before, fleet.backend("t-1").ledger().totals().runs());
        }
    }
}
