package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.berylwick.node.lib.RequestClass;

/**
 * Tells calls, which backend servers make while they run a request, from requests of callers. Confined to the event
 * loop.
 *
 * <p>Nothing in a request says so, but callers are on all VMs, whereas a class of calls comes only from the VMs of the
 * services that make them. A class is one of calls if some service's VMs, by their number, should have sent many of its
 * requests, and sent next to none.
 */
final class CallOrigins {
    /** Requests that a service's VMs should have sent before their absence counts; chance leaves out 3 in 10,000. */
    private static final double MIN_EXPECTED = 8;
    /** Largest part of the expected number that counts as absence. */
    private static final double MAX_ABSENT_SHARE = 0.1;
    /** Counts are halved beyond this many requests, so that a change of routes is noticed. */
    private static final double MAX_COUNTED = 2_000;

    private final Supplier<Map<String, Integer>> vmsByService;
    private final Map<RequestClass, Counts> byClass = new HashMap<>();

    private static final class Counts {
        private final Map<String, double[]> byService = new HashMap<>();
        private double total;
        private boolean calls;
    }

    /** @param vmsByService supplies the number of VMs of each service, including this one */
    CallOrigins(Supplier<Map<String, Integer>> vmsByService) {
        this.vmsByService = vmsByService;
    }

    /** Counts a request by the service of the VM that it came from. */
    void onRequest(RequestClass requestClass, String callerService) {
        Counts counts = byClass.computeIfAbsent(requestClass, k -> new Counts());
        counts.byService.computeIfAbsent(callerService, k -> new double[1])[0]++;
        counts.total++;
        if (counts.total >= MAX_COUNTED) {
            counts.total /= 2;
            counts.byService.values().forEach(count -> count[0] /= 2);
        }
        // The counts double between two evaluations at first, and are evaluated every so often later.
        if (isDue((long) counts.total)) {
            counts.calls = isAbsentSomewhere(counts);
        }
    }

    private static boolean isDue(long total) {
        return Long.bitCount(total) == 1 || total % 64 == 0;
    }

    private boolean isAbsentSomewhere(Counts counts) {
        Map<String, Integer> vms = vmsByService.get();
        double allVms = vms.values().stream().mapToInt(Integer::intValue).sum();
        for (Map.Entry<String, Integer> service : vms.entrySet()) {
            double expected = counts.total * service.getValue() / allVms;
            double[] count = counts.byService.get(service.getKey());
            if (expected >= MIN_EXPECTED && (count == null || count[0] <= MAX_ABSENT_SHARE * expected)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the requests of a class are calls, as far as is known. */
    boolean areCalls(RequestClass requestClass) {
        Counts counts = byClass.get(requestClass);
        return counts != null && counts.calls;
    }
}
