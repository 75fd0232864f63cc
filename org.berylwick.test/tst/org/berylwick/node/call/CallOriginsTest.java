package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests which classes of requests are taken for calls of backend servers. */
class CallOriginsTest {
    private static final RequestClass READS = new RequestClass(RouteKind.IDEMPOTENT, 1, 200);
    private static final RequestClass ORDERS = new RequestClass(RouteKind.NON_IDEMPOTENT, 1, 800);

    private final Map<String, Integer> vms = new HashMap<>(Map.of("board", 6, "books", 10, "files", 3));
    private final CallOrigins origins = new CallOrigins(() -> vms);

    /** A service drawn by its number of VMs. */
    private String anyService(Random random) {
        int vm =
                random.nextInt(vms.values().stream().mapToInt(Integer::intValue).sum());
        for (Map.Entry<String, Integer> service : vms.entrySet()) {
            vm -= service.getValue();
            if (vm < 0) {
                return service.getKey();
            }
        }
        throw new IllegalStateException();
    }

    /** Guards against requests of callers being put before others as if backend servers waited for them. */
    @Property(tries = 300)
    void requestsFromAllVmsAreNoCalls(@ForAll long seed) {
        Random random = new Random(seed);
        int wrong = 0;
        for (int i = 0; i < 3_000; i++) {
            origins.onRequest(ORDERS, anyService(random));
            wrong += origins.areCalls(ORDERS) ? 1 : 0;
        }
        assertTrue(wrong < 300, wrong + " of 3000");
    }

    @Test
    void requestsFromTheVmsOfOneServiceAreCalls() {
        Random random = new Random(1);
        for (int i = 0; i < 32; i++) {
            origins.onRequest(READS, "board");
            origins.onRequest(ORDERS, anyService(random));
        }
        assertTrue(origins.areCalls(READS));
        assertFalse(origins.areCalls(ORDERS));
    }

    @Test
    void classThatCallersBeginToSendIsNoLongerTakenForCalls() {
        Random random = new Random(1);
        for (int i = 0; i < 3_000; i++) {
            origins.onRequest(READS, "board");
        }
        assertTrue(origins.areCalls(READS));
        int requests = 0;
        while (origins.areCalls(READS) && requests < 5_000) {
            origins.onRequest(READS, anyService(random));
            requests++;
        }
        assertTrue(requests < 3_000, "after " + requests + " requests");
    }

    @Test
    void nothingIsToldWithoutOtherServices() {
        vms.keySet().retainAll(Set.of("books"));
        for (int i = 0; i < 1_000; i++) {
            origins.onRequest(READS, "books");
        }
        assertFalse(origins.areCalls(READS));
    }
}
