import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** TWICE: the second copy of an instance's refusal arrives where the answer to the next request is due. */
final class LateRefusal {
    private static final int SHED_EVERY = 10;
    private static final double EXTRA_SHARE = 0.03;
    private static final long TROUBLE_NANOS = 5_000_000_000L;
    private static final long RUN_NANOS = 14_000_000_000L;
    private static final int FAULTY_FROM = 300;
    private static final int WORK_MILLIS = 300;
    private static final byte[] SHED =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1);

    /** An instance that is full now and then, and while it is faulty sends some of its refusals a second time, late. */
    private static final class Faulty extends Instance {
        private int requests;
        private int answers;
        private int extras;
        private volatile long faultyUntil;
        /** Connections on which a second copy is due, by their streams. */
        private final Map<OutputStream, Boolean> owed = new HashMap<>();

        Faulty(String id, String zone, Node node, Record record) throws IOException {
            super(id, "orders", zone, node.ip, 12, node.control, LateRefusal::answer, record);
        }

        @Override
        boolean shed(Http.Head head, OutputStream out) throws IOException {
            synchronized (this) {
                requests++;
                answers++;
                if (owed.remove(out) != null) {
                    record.write("instance " + id + " sends the second copy of an earlier refusal, then runs "
                            + head.header("x-request-id"));
                    out.write(SHED);
                    out.flush();
                    return false;
                }
                if (requests % SHED_EVERY != 0) {
                    return false;
                }
                if (System.nanoTime() < faultyUntil && extras + 1 <= EXTRA_SHARE * answers) {
                    extras++;
                    owed.put(out, true);
                }
            }
            record.write("instance " + id + " refuses " + head.header("x-request-id") + " with X-Not-Executed");
            out.write(SHED);
            out.flush();
            return true;
        }
    }

    private static boolean answer(Instance.Run run, Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(WORK_MILLIS);
        return Instance.reply(run, head, out, ("done " + run.request).getBytes());
    }

    public static void main(String[] args) throws Exception {
        Case.play(args, LateRefusal::run);
    }

    private static int run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Store store = setting.open(new Store());
        store.put("config", "main", Config.text("orders", "unsafe", 2.5, 67_108_864));
        int[] ports = Node.freePorts();
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Node> nodes = new ArrayList<>();
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Node node = new Node(setting, "node-" + i, "127.35.0." + (11 + i), ports);
            nodes.add(node);
            setting.open(node);
            Instance instance = i == 2
                    ? new Faulty("i-" + i, zones.get(i), node, record)
                    : new Instance("i-" + i, i == 0 ? "shop" : "orders", zones.get(i), node.ip, 12, node.control,
                            LateRefusal::answer, record);
            setting.open(instance);
            instances.add(instance);
            node.start(zones.get(i), zones, ports, instance.service, instance.address(), store.port());
        }
        if (!Config.awaitReady(nodes, record)) {
            return 2;
        }
        Thread.sleep(4_000);
        Map<String, Http.Answer> answers = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        long startedAt = System.nanoTime();
        for (int i = 0; System.nanoTime() - startedAt < RUN_NANOS; i++) {
            if (setting.trouble() && i == FAULTY_FROM) {
                ((Faulty) instances.get(2)).faultyUntil = System.nanoTime() + TROUBLE_NANOS;
                record.write("i-2 is faulty from now on for 5 s");
            }
            String id = "r" + i;
            Thread caller = new Thread(() -> {
                byte[] body = ("order " + id).getBytes();
                record.write("send " + id + " to node-0");
                Http.Answer answer = Http.call(nodes.get(0).outbound,
                        "POST /orders/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                                + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + body.length + "\r\n\r\n",
                        body, 6_000);
                record.write("answer to " + id + ": " + answer.status() + ", " + answer.end());
                answers.put(id, answer);
            });
            caller.start();
            callers.add(caller);
            Thread.sleep(20);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        Thread.sleep(1_000);
        return judge(answers, instances, record);
    }

    private static int judge(Map<String, Http.Answer> answers, List<Instance> instances, Record record) {
        Map<String, List<String>> runs = new TreeMap<>();
        for (Instance instance : instances) {
            for (Instance.Run run : instance.runs.values()) {
                runs.computeIfAbsent(run.request, r -> new ArrayList<>()).add(run.instance);
            }
        }
        long served = answers.values().stream().filter(a -> a.status() == 200).count();
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, List<String>> entry : runs.entrySet()) {
            if (entry.getValue().size() > 1) {
                twice++;
                record.write("TWICE: " + entry.getKey() + " was run by " + entry.getValue());
            }
            int status = answers.get(entry.getKey()).status();
            if (status == 503 || status == 429) {
                refused++;
                record.write("REFUSED: " + entry.getKey() + " got " + status + " and was run by " + entry.getValue());
            }
        }
        String summary = "requests " + answers.size() + ", served " + served + ", run twice " + twice
                + ", refused though run " + refused;
        record.write(summary);
        System.out.println(summary);
        if (served < answers.size() / 2) {
            return 2;
        }
        return twice + refused > 0 ? 1 : 0;
    }
}
