package org.berylwick.bench.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetOperator;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.lib.Place;

/** An entry daemon, an owner daemon, and the platform's stand-in with the latency and rates that are asked for. */
final class KeysFleet implements AutoCloseable {
    private static final Instance ENTRY = new Instance("entry", "edge", new Place("ncr", "quezon"));
    private static final Instance OWNER = new Instance("owner", "bookings", new Place("ncr", "quezon"));
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final Duration FAULT_LENGTH = Duration.ofHours(1);
    private static final String HOST = "bench.example";
    private static final String DECLARATIONS = """
            [[brand]]
            name = "bench"
            hosts = ["bench.example"]

            [[service]]
            name = "edge"

            [[service]]
            name = "bookings"
            slots = 100
            connections = 100

            [[route]]
            name = "placements"
            path = "/placements"
            service = "bookings"

            [[policy]]
            name = "confirmations"
            class = "confirmation"
            timeout = "10s"
            idempotency_key = "optional"
            """;

    private final Fleet fleet = new Fleet();
    private final WebClient control;

    /** Calls of the store about keys. */
    record StoreCalls(long reads, long writes) {
        StoreCalls minus(StoreCalls before) {
            return new StoreCalls(reads - before.reads, writes - before.writes);
        }
    }

    /** Starts everything and waits until requests are taken. */
    KeysFleet() throws InterruptedException {
        try {
            fleet.startPlatform();
            fleet.startBackends(
                    new FleetPlan(List.of(ENTRY, OWNER)), List.of("--slots", "100", "--service-time-ms", "0"));
            for (Instance i : List.of(ENTRY, OWNER)) {
                fleet.startDaemon(i);
            }
            for (Instance i : List.of(ENTRY, OWNER)) {
                fleet.awaitDaemon(i.name());
            }
            FleetOperator operator =
                    new FleetOperator(fleet.addresses(ENTRY.name()).admin());
            long version = operator.apply("bench.toml", DECLARATIONS);
            operator.awaitInForce(version, List.of(ENTRY.name(), OWNER.name()), SETTLE);
            control = WebClient.of("http://" + fleet.platform());
        } catch (IllegalStateException e) {
            fleet.close();
            throw e;
        }
    }

    /** A path for confirmations whose keys are given, or which have none. */
    LoadPath path(Supplier<String> keys) {
        return new LoadPath(fleet.addresses(ENTRY.name()).callers(), () -> {
            RequestHeadersBuilder headers =
                    RequestHeaders.builder(HttpMethod.POST, "/placements").authority(HOST);
            String key = keys.get();
            if (!key.isEmpty()) {
                headers.set("idempotency-key", key);
            }
            return HttpRequest.of(headers.build());
        });
    }

    /** Delays each call of the store by this time; 0 for no delay. */
    void setStoreMillis(int millis) {
        control("/control/clear");
        if (millis > 0) {
            control("/control/slow?min_ms=" + millis + "&max_ms=" + millis + "&millis=" + FAULT_LENGTH.toMillis());
        }
    }

    /** Limits the store's calls a second; 0 for no limit. */
    void setStoreRates(int reads, int writes) {
        control("/control/rates?reads=" + reads + "&writes=" + writes);
    }

    /** The store's calls about keys so far. */
    StoreCalls storeCalls() {
        JsonNode segments = counts().path("bySegment");
        return new StoreCalls(
                segments.path("read keys").asLong(), segments.path("write keys").asLong());
    }

    /** Calls that the store refused for its rates so far. */
    long storeRefusals() {
        return counts().path("refused").asLong();
    }

    private JsonNode counts() {
        try {
            return new ObjectMapper().readTree(control("/control/counts"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String control(String path) {
        AggregatedHttpResponse answer = control.get(path).aggregate().join();
        if (!answer.status().isSuccess()) {
            throw new IllegalStateException(path + " was answered " + answer.status());
        }
        return answer.contentUtf8();
    }

    @Override
    public void close() {
        fleet.close();
    }
}
