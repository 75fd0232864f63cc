package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.testing.Await;
import org.berylwick.testing.RestartingServer;
import org.berylwick.testing.RestartingServer.Arrival;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Callers repeat a request that crashes each backend server that runs it. */
@Timeout(120)
class CrashingRequestTest {
    private static final String CRASHING_READ = "/read/crash";
    private static final int OWNER_COUNT = 4;
    private static final int SLOTS = 4;
    /** After the third crash and this time, all nodes that can communicate know of the request. */
    private static final long CONTACT_NANOS = 3_000_000_000L;

    private static final int MAX_ARRIVALS_AFTER_CONTACT = 3;
    private static final long REPEAT_NANOS = 14_000_000_000L;
    private static final int REPEAT_INTERVAL_MILLIS = 250;

    private final NodeRig rig = new NodeRig();
    private final List<RestartingServer> backends = new ArrayList<>();

    @BeforeEach
    void startNodes() {
        rig.configuration.publish(NodeRig.version(1));
        rig.start(1, Optional.empty());
        for (int node = 2; node <= OWNER_COUNT + 1; node++) {
            rig.start(node, Optional.empty());
            backends.add(rig.startBackend(node, SLOTS));
        }
        rig.awaitReady(1);
        for (int node = 2; node <= OWNER_COUNT + 1; node++) {
            rig.awaitReady(node);
            rig.awaitMemberKnown("i-" + node + "-0");
        }
    }

    @AfterEach
    void close() {
        backends.forEach(RestartingServer::close);
        rig.close();
    }

    private List<Arrival> arrivalsInOrder() {
        return backends.stream()
                .flatMap(backend -> backend.arrivals().stream())
                .sorted((a, b) -> Long.compare(a.at(), b.at()))
                .toList();
    }

    private long arrivalsAfterContact() {
        List<Arrival> all = arrivalsInOrder();
        if (all.size() <= 3) {
            return 0;
        }
        long contactAt = all.get(2).at() + CONTACT_NANOS;
        return all.stream().filter(arrival -> arrival.at() > contactAt).count();
    }

    /** Guards against a log that cannot tell a request that crashes backend servers from backend servers that end. */
    @Test
    void exitsOfBackendServersNameTheRequestTheyHaveInCommon() {
        rig.call(1, "GET", CRASHING_READ, "c1", "");
        rig.call(1, "GET", CRASHING_READ, "c2", "");
        Pattern exit = Pattern.compile("BACKEND_EXITED.*\"requests\":\"\\[(\\w+)]\"");
        Await.until("two exits", () -> exit.matcher(rig.logText()).results().count() >= 2, rig::logText);
        assertEquals(
                1,
                exit.matcher(rig.logText())
                        .results()
                        .map(result -> result.group(1))
                        .distinct()
                        .count());
    }

    /**
     * Guards against a crashing request that callers repeat, with other ids and at any node, and that ends the fleet.
     */
    @Test
    void repeatedRequestReachesNoMoreBackendServersOnceItHasCrashedThree() {
        long endAt = System.nanoTime() + REPEAT_NANOS;
        for (int i = 0; System.nanoTime() < endAt; i++) {
            rig.call(1 + i % (OWNER_COUNT + 1), "GET", CRASHING_READ, "c" + i, "");
            NodeRig.sleep(REPEAT_INTERVAL_MILLIS);
        }
        long late = arrivalsAfterContact();
        assertTrue(
                late <= MAX_ARRIVALS_AFTER_CONTACT,
                late + " arrivals later than 3 s after the third crash, "
                        + arrivalsInOrder().size() + " in all");
    }

    /** Guards against a crashing request that may run once only, with a body that is forwarded while it arrives. */
    @Test
    void repeatedUploadReachesNoMoreBackendServersOnceItHasCrashedThree() {
        String body = "x".repeat(RequestBody.MIN_STREAMED_BYTES + 1);
        long endAt = System.nanoTime() + REPEAT_NANOS;
        for (int i = 0; System.nanoTime() < endAt; i++) {
            rig.call(1 + i % (OWNER_COUNT + 1), "POST", "/pay/crash", "u" + i, body);
            NodeRig.sleep(REPEAT_INTERVAL_MILLIS);
        }
        assertTrue(
                arrivalsInOrder().size() >= 3,
                "the upload reached " + arrivalsInOrder().size());
        assertTrue(
                arrivalsAfterContact() <= MAX_ARRIVALS_AFTER_CONTACT,
                arrivalsInOrder().toString());
    }

    /** Guards against a node that starts after the crashes, knows nothing of them, and sends the request on. */
    @Test
    void nodeThatStartsLaterRefusesTheRequest() {
        for (int i = 0; arrivalsInOrder().size() < 3; i++) {
            rig.call(1, "GET", CRASHING_READ, "c" + i, "");
            NodeRig.sleep(REPEAT_INTERVAL_MILLIS);
        }
        int newcomer = OWNER_COUNT + 2;
        rig.start(newcomer, Optional.empty());
        rig.awaitReady(newcomer);
        Await.until(
                "the newcomer knows",
                () -> NodeRig.gauge(rig.node(newcomer), NodeMetricNames.QUARANTINE_HELD) == 1,
                rig::logText);
        int arrivals = arrivalsInOrder().size();
        String response = rig.call(newcomer, "GET", CRASHING_READ, "n1", "");
        assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
        assertEquals(arrivals, arrivalsInOrder().size());
    }

    /** Guards against nodes that have all been lost, know nothing any more, and let the request end further servers. */
    @Test
    void nodesThatStartAfterTheLossOfAllRefuseTheRequest() {
        for (int i = 0; arrivalsInOrder().size() < 3; i++) {
            rig.call(1, "GET", CRASHING_READ, "c" + i, "");
            NodeRig.sleep(REPEAT_INTERVAL_MILLIS);
        }
        Await.until("it is recorded", rig::hasRecordedCrashes, rig::logText);
        for (int node = 1; node <= OWNER_COUNT + 1; node++) {
            rig.node(node).close();
        }
        int newcomer = OWNER_COUNT + 2;
        rig.start(newcomer, Optional.empty());
        rig.awaitReady(newcomer);
        String response = rig.call(newcomer, "GET", CRASHING_READ, "n1", "");
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals(1, NodeRig.gauge(rig.node(newcomer), NodeMetricNames.QUARANTINE_HELD));
    }
}
