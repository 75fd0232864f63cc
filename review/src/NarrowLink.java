import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3. Machines with links of 5.25 Mbit/s. The operator adds a route, whose requests have bodies of 14,000 bytes.
 * Exit code 1 if it is served less than a quarter as often as the first route (rule CONFIG). Argument: the record file.
 */
final class NarrowLink {
    private static final double LINK_MBPS = 5.25;
    private static final int FIRST_BODY_BYTES = 1_200;
    private static final int ADDED_BODY_BYTES = 14_000;
    private static final int REQUESTS = 24;
    private static final long TIME_LIMIT_MILLIS = 5_000;
    private static final double TIMEOUT_S = 2.5;
    /** contactS and configS, and a margin: from then on the machines are in touch and the version is in force. */
    private static final long SETTLE_MILLIS = 6_000;

    private final Kit kit;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private NarrowLink(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Kit kit = new Kit(Path.of(args[0]))) {
            status = new NarrowLink(kit).play(trouble);
        } catch (IOException | IllegalStateException e) {
            System.out.println("cannot run: " + e);
        }
        System.exit(status);
    }

    private int play(boolean trouble) throws Exception {
        kit.linkMbps = LINK_MBPS;
        String services = Kit.service("portal") + "," + Kit.service("billing");
        String first = Kit.route("confirm", "unsafe", "billing", TIMEOUT_S, 2) + ","
                + Kit.route("lookup", "safe", "portal", TIMEOUT_S, 2);
        kit.store.put("config", "main", Kit.configuration(1, services, first, 67_108_864));
        byte[] receipt = new byte[500];
        Kit.Behaviour behaviour = (instance, socket, in, request) -> {
            request.readBody(in);
            runs.computeIfAbsent(request.id(), i -> new AtomicInteger()).incrementAndGet();
            Kit.pause(60);
            Kit.answer(socket, request, receipt);
            return true;
        };
        kit.machine("portal", 12, behaviour);
        kit.machine("billing", 12, behaviour);
        kit.machine("billing", 12, behaviour);
        kit.awaitReady();
        int firstServed = send("confirm", FIRST_BODY_BYTES);
        if (!trouble) {
            kit.note("first route: " + firstServed + " of " + REQUESTS + " served; no route was added");
            return firstServed == 0 ? 2 : firstServed < REQUESTS ? 1 : 0;
        }
        kit.store.put("config", "main", Kit.configuration(2, services,
                first + "," + Kit.route("deposit", "unsafe", "billing", TIMEOUT_S, 2), 67_108_864));
        kit.note("the operator adds the route deposit");
        Kit.pause(SETTLE_MILLIS);
        int addedServed = send("deposit", ADDED_BODY_BYTES);
        int firstAgain = send("confirm", FIRST_BODY_BYTES);
        kit.note("first route: " + firstServed + " and " + firstAgain + " of " + REQUESTS + " served; added route: "
                + addedServed + " of " + REQUESTS);
        return firstAgain == 0 ? 2 : addedServed * 4 < firstAgain ? 1 : 0;
    }

    /** Sends requests one after the other at machine 0, and returns how many were served. */
    private int send(String route, int bodyBytes) throws IOException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = route + "-" + i + "-" + Long.toHexString(System.nanoTime());
            try (Kit.Caller caller = new Kit.Caller(kit.nodes.get(0))) {
                long sentAt = System.nanoTime();
                Kit.Answer answer = caller.call("POST", "/" + route + "/x", id, TIME_LIMIT_MILLIS, new byte[bodyBytes]);
                served += answer.status == 200 ? 1 : 0;
                kit.note(id + ", " + bodyBytes + " bytes: " + answer.status + " " + answer.broken + " after "
                        + (System.nanoTime() - sentAt) / 1_000_000 + " ms, runs "
                        + (runs.containsKey(id) ? runs.get(id) : 0));
            }
        }
        return served;
    }
}
