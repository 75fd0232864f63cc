import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1. Requesters on one machine send uploads and small requests over kept connections; in a burst there are twice
 * as many who send uploads. Exit code 1 if the node closed more than three connections without an answer to a request
 * that a sound instance had run (rule LOST). Argument: the record file.
 */
final class Burst {
    private static final int UPLOAD_BYTES = 6_500_000;
    private static final int USUAL_UPLOADERS = 9;
    private static final int SMALL_REQUESTERS = 12;
    private static final double BURST = 2.0;
    private static final long BURST_MILLIS = 6_000;
    private static final long CALM_MILLIS = 4_000;
    /** There are further bursts only if the rule still holds. */
    private static final int BURSTS = 5;

    private static final int UPLOAD_WORK_MILLIS = 600;
    private static final int SMALL_WORK_MILLIS = 60;
    private static final long TIME_LIMIT_MILLIS = 10_000;
    private static final int ALLOWED = 3;

    private final Kit kit;
    private final byte[] upload = new byte[UPLOAD_BYTES];
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> results = new ConcurrentSkipListMap<>();
    private final AtomicInteger closedUnanswered = new AtomicInteger();
    private final AtomicInteger nextId = new AtomicInteger();
    private final List<Thread> requesters = new ArrayList<>();
    private volatile boolean over;
    private volatile boolean inBurst;

    private Burst(Kit kit) {
        this.kit = kit;
        Arrays.fill(upload, (byte) 'u');
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Kit kit = new Kit(Path.of(args[0]))) {
            status = new Burst(kit).play(trouble);
        } catch (IOException | IllegalStateException e) {
            System.out.println("cannot run: " + e);
        }
        System.exit(status);
    }

    private int play(boolean trouble) throws Exception {
        kit.store.put("config", "main", Kit.configuration(1, Kit.service("vault"),
                Kit.route("ingest", "upload", "vault", 9, 1) + "," + Kit.route("pay", "unsafe", "vault", 9, 1) + ","
                        + Kit.route("read", "safe", "vault", 9, 2), 67_108_864));
        byte[] receipt = new byte[2_000];
        Kit.Behaviour behaviour = (instance, socket, in, request) -> {
            request.readBody(in);
            runs.computeIfAbsent(request.id(), i -> new AtomicInteger()).incrementAndGet();
            Kit.pause(request.path.startsWith("/ingest") ? UPLOAD_WORK_MILLIS : SMALL_WORK_MILLIS);
            Kit.answer(socket, request, receipt);
            return true;
        };
        kit.machine("vault", 12, behaviour);
        kit.machine("vault", 12, behaviour);
        kit.awaitReady();
        Kit.Node node = kit.nodes.get(0);
        for (int i = 0; i < USUAL_UPLOADERS; i++) {
            String name = "u" + i;
            start(() -> send(node, name, "/ingest/x", upload, false));
        }
        for (int i = 0; i < SMALL_REQUESTERS; i++) {
            String name = "p" + i;
            start(() -> send(node, name, "/pay/x", new byte[300], false));
        }
        int more = trouble ? (int) Math.floor(USUAL_UPLOADERS * BURST) - USUAL_UPLOADERS : 0;
        kit.note(USUAL_UPLOADERS + " requesters send uploads of " + UPLOAD_BYTES + " bytes, " + SMALL_REQUESTERS
                + " send small requests");
        boolean ended = await(node, CALM_MILLIS);
        for (int burst = 0; burst < BURSTS && !ended; burst++) {
            kit.note("burst of " + BURST_MILLIS + " ms: " + more + " more requesters send uploads");
            inBurst = true;
            for (int i = 0; i < more; i++) {
                String name = "b" + burst + "-" + i;
                start(() -> send(node, name, "/ingest/x", upload, true));
            }
            ended = await(node, BURST_MILLIS);
            inBurst = false;
            kit.note("end of the burst");
            ended = ended || await(node, CALM_MILLIS);
        }
        over = true;
        for (Thread requester : requesters) {
            requester.join();
        }
        if (!node.process.isAlive()) {
            kit.note("node 0 has ended by itself, exit code " + node.process.exitValue());
        }
        results.forEach((result, count) -> kit.note("result: " + result + ": " + count));
        kit.note("connections closed without an answer to a request that a sound instance ran: " + closedUnanswered
                + "; the rule allows " + ALLOWED);
        boolean served = results.keySet().stream().anyMatch(r -> r.contains("200"));
        return !served ? 2 : closedUnanswered.get() > ALLOWED ? 1 : 0;
    }

    private void start(Runnable requester) {
        requesters.add(Thread.ofPlatform().start(requester));
    }

    /** Waits, and returns whether the node has ended meanwhile. */
    private boolean await(Kit.Node node, long millis) {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (!node.process.isAlive()) {
                kit.note("node 0 has ended by itself");
                return true;
            }
            Kit.pause(50);
        }
        return false;
    }

    /** One requester: sends one request after the other on a connection that it keeps. */
    private void send(Kit.Node node, String name, String path, byte[] body, boolean burst) {
        Kit.Caller caller = null;
        while (!over && (!burst || inBurst)) {
            try {
                if (caller == null) {
                    caller = new Kit.Caller(node);
                    // From here on it is a kept connection.
                    caller.call("GET", "/read/x", "g" + nextId.incrementAndGet(), 2_000, new byte[0]);
                }
                String id = name + "-" + nextId.incrementAndGet();
                long sentAt = System.nanoTime();
                Kit.Answer answer = caller.call("POST", path, id, TIME_LIMIT_MILLIS, body);
                long afterMillis = (System.nanoTime() - sentAt) / 1_000_000;
                boolean ran = runs.containsKey(id);
                String outcome = (answer.status == 0 ? answer.broken.replaceAll(":.*", "") : "" + answer.status)
                        + (ran ? ", ran" : ", did not run");
                results.computeIfAbsent(path + " " + outcome, r -> new AtomicInteger()).incrementAndGet();
                kit.record.println(id + " " + path + ": " + outcome + ", after " + afterMillis + " ms");
                if (answer.status == 0) {
                    if (ran && !answer.broken.contains("timed out")) {
                        closedUnanswered.incrementAndGet();
                    }
                    caller.close();
                    caller = null;
                } else if (answer.status == 503) {
                    Kit.pause((long) (1_000 * Double.parseDouble(answer.headers.getOrDefault("retry-after", "0.3"))));
                } else {
                    Kit.pause(body.length > 1_000 ? 0 : 20);
                }
            } catch (IOException e) {
                results.computeIfAbsent("no connection: " + e.getClass().getSimpleName(), r -> new AtomicInteger())
                        .incrementAndGet();
                caller = null;
                Kit.pause(200);
            }
        }
    }
}
