package org.berylwick.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.berylwick.lib.Place;
import org.junit.jupiter.api.Test;

class LocalFleetTest {
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

    @Test
    void aRequestIsServedThroughEitherDaemon() throws Exception {
        try (LocalFleet fleet = new LocalFleet();
                HttpClient http = HttpClient.newHttpClient()) {
            fleet.add(new FleetPlan.Instance("t-1", "tiles", new Place("here", "a")));
            fleet.add(new FleetPlan.Instance("t-2", "tiles", new Place("here", "b")));
            fleet.awaitAllUp(fleet.apply(DECLARATIONS));
            for (String entry : new String[] {"t-1", "t-2"}) {
                URI uri = URI.create("http://" + fleet.daemon(entry).callersAddress() + "/tiles/1");
                HttpResponse<String> answer =
                        http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
                assertEquals(200, answer.statusCode(), answer.body());
            }
            assertEquals(0, fleet.daemon("t-1").invariantBreaches());
        }
    }
}
