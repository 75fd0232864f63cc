package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.testing.RestartingServer;
import org.berylwick.testing.RestartingServer.Arrival;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers of the daemons repeat a request that crashes each backend server that runs it. */
class CrashingRequestTest {
    private static final int MEMBER_COUNT = 4;
    /** After the third crash and this time, all daemons know of the request. */
    private static final long CONTACT_NANOS = 3_000_000_000L;

    private static final int MAX_ARRIVALS_AFTER_CONTACT = 3;
    private static final long REPEAT_NANOS = 12_000_000_000L;
    private static final int REPEAT_INTERVAL_MILLIS = 100;

    private static final String TOML_WITH_KEYS =
            TestConfiguration.TOML.replace("idempotent = false", "idempotent = false\nidempotency_key = \"optional\"");

    private final CallPathCluster cluster = new CallPathCluster(TOML_WITH_KEYS);
    private final List<RestartingServer> servers = new ArrayList<>();
    private final List<TestDaemon> daemons = new ArrayList<>();

    @BeforeEach
    void startDaemons() {
        for (int i = 0; i < MEMBER_COUNT; i++) {
            RestartingServer server = new RestartingServer((c, r) -> c.answer(r, "ok"), s -> {});
            servers.add(server);
            daemons.add(cluster.addMember("m" + i, "web", server.server().address()));
        }
    }

    @AfterEach
    void close() {
        assertEquals(List.of(), cluster.breachedInvariants());
        cluster.close();
        servers.forEach(RestartingServer::close);
    }

    private static int status(TestDaemon entry, HttpMethod method, String path, String id, String key) {
        RequestHeadersBuilder headers =
                RequestHeaders.builder(method, path).set("host", "one.example").set("x-request-id", id);
        if (!key.isEmpty()) {
            headers.set("idempotency-key", key);
        }
        WebClient client = WebClient.of("http://" + entry.callerAddress());
        AggregatedHttpResponse response =
                client.execute(headers.build(), "x").aggregate().join();
        return response.status().code();
    }

    private List<Arrival> arrivals() {
        return servers.stream()
                .flatMap(server -> server.arrivals().stream())
                .sorted((a, b) -> Long.compare(a.at(), b.at()))
                .toList();
    }

    private void repeat(HttpMethod method, String path, boolean keyed) {
        long endAt = System.nanoTime() + REPEAT_NANOS;
        for (int i = 0; System.nanoTime() < endAt; i++) {
            // Other requests go on beside it, as daemons tell each other of crashes with the responses to calls.
            for (TestDaemon daemon : daemons) {
                status(daemon, HttpMethod.GET, "/tiles/" + i, "t" + i, "");
            }
            status(daemons.get(i % MEMBER_COUNT), method, path, "c" + i, keyed ? "k" + i : "");
            sleep();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(REPEAT_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void assertFewArrivals() {
        List<Arrival> all = arrivals();
        assertTrue(all.size() >= 2, all.toString());
        long contactAt = all.get(Math.min(2, all.size() - 1)).at() + CONTACT_NANOS;
        long late = all.stream().filter(arrival -> arrival.at() > contactAt).count();
        assertTrue(
                late <= MAX_ARRIVALS_AFTER_CONTACT,
                late + " arrivals later than 3 s after the third crash, " + all.size() + " in all");
    }

    /** Guards against a crashing request that callers repeat, with other ids and at any daemon. */
    @Test
    void repeatedRequestReachesNoMoreBackendServersOnceItHasCrashedThree() {
        repeat(HttpMethod.GET, "/tiles/crash", false);
        assertFewArrivals();
    }

    /** The same for a request that may run once, and that callers repeat with other idempotency keys. */
    @Test
    void repeatedKeyedRequestReachesNoMoreBackendServersOnceItHasCrashedThree() {
        repeat(HttpMethod.POST, "/orders/crash", true);
        assertFewArrivals();
    }
}
