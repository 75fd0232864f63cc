import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** LOST: a daemon that is stopped takes a request more than 3 s after the SIGTERM, and ends it while it is run. */
final class LateStop {
    private static final int WORK_MILLIS = 300;
    /** Each fifth request takes longer, as the tail of a site's work does. */
    private static final int LONG_WORK_MILLIS = 2_400;

    private static final int LONG_EVERY = 5;
    private static final double TIMEOUT_S = 2.5;
    private static final int LIMIT_MILLIS = 5_000;
    private static final long GAP_MILLIS = 40;

    private record Sent(String id, long at, Http.Answer answer, long answeredAt) {}

    public static void main(String[] args) throws Exception {
        Case.play(args, LateStop::run);
    }

    private static int run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Store store = setting.open(new Store());
        store.put("config", "main", Config.text("orders", "unsafe", TIMEOUT_S, 67_108_864));
        int[] ports = Node.freePorts();
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Node> nodes = new ArrayList<>();
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Node node = new Node(setting, "node-" + i, "127.31.0." + (11 + i), ports);
            nodes.add(node);
            setting.open(node);
            Instance instance = new Instance("i-" + i, "orders", zones.get(i), node.ip, 12, node.control,
                    (run, head, body, out) -> {
                        int number = Integer.parseInt(run.request.substring(1));
                        Thread.sleep(number % LONG_EVERY == 0 ? LONG_WORK_MILLIS : WORK_MILLIS);
                        return Instance.reply(run, head, out, ("done " + run.request).getBytes());
                    }, record);
            setting.open(instance);
            instances.add(instance);
            node.start(zones.get(i), zones, ports, "orders", instance.address(), store.port());
        }
        if (!Config.awaitReady(nodes, record)) {
            return 2;
        }
        Thread.sleep(5_000);
        Node stopped = nodes.get(0);
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        long startedAt = System.nanoTime();
        long stopAt = startedAt + 4_000_000_000L;
        long signalledAt = 0;
        int number = 0;
        // It is the only daemon of its zone, so requesters go on while it is out.
        while (System.nanoTime() - startedAt < 10_000_000_000L) {
            if (signalledAt == 0 && System.nanoTime() >= stopAt) {
                signalledAt = System.nanoTime();
                if (setting.trouble()) {
                    stopped.terminate();
                }
            }
            String id = "r" + number++;
            Thread caller = new Thread(() -> {
                long at = System.nanoTime();
                byte[] body = ("order " + id).getBytes();
                record.write("send " + id + " to " + stopped.name);
                Http.Answer answer = Http.call(stopped.outbound,
                        "POST /orders/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                                + "\r\nX-Deadline-Ms: " + LIMIT_MILLIS + "\r\nContent-Length: " + body.length
                                + "\r\n\r\n",
                        body, LIMIT_MILLIS);
                record.write("answer to " + id + ": " + answer.status() + ", " + answer.end());
                sent.put(id, new Sent(id, at, answer, System.nanoTime()));
            });
            caller.start();
            callers.add(caller);
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        Thread.sleep(500);
        return judge(sent, instances, signalledAt, setting);
    }

    private static int judge(Map<String, Sent> sent, List<Instance> instances, long signalledAt, Case.Setting setting) {
        Record record = setting.record();
        int served = 0;
        int broken = 0;
        for (Sent request : sent.values()) {
            served += request.answer().status() == 200 ? 1 : 0;
            double afterSignalS = (request.at() - signalledAt) / 1e9;
            if (request.answer().status() / 100 == 2 || afterSignalS < 3 && setting.trouble()) {
                continue;
            }
            for (Instance instance : instances) {
                for (Instance.Run run : instance.runs.values()) {
                    boolean atWork = run.request.equals(request.id()) && run.startedAt < request.answeredAt()
                            && (run.endedAt == 0 || run.endedAt > request.answeredAt());
                    double takenS = (request.answeredAt() - request.at()) / 1e9;
                    if (atWork && takenS < TIMEOUT_S - 0.1) {
                        broken++;
                        record.write(String.format(
                                "LOST: %s, sent %.2f s after the SIGTERM, got %d (%s) after %.2f s while %s was at work",
                                request.id(), afterSignalS, request.answer().status(), request.answer().end(), takenS,
                                instance.id));
                    }
                }
            }
        }
        record.write("requests " + sent.size() + ", served " + served + ", lost " + broken);
        System.out.println("requests " + sent.size() + ", served " + served + ", lost " + broken);
        if (served < sent.size() / 4) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
