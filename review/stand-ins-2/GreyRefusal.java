import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** REFUSED: an instance runs orders and answers some with a 503 of its own, without {@code X-Not-Executed}. */
final class GreyRefusal {
    private static final int WORK_MILLIS = 300;
    /** Of 20 requests of the grey instance, this many fail; 0.45 is the most that the site names. */
    private static final int FAILING_OF_20 = 8;

    private static final long GREY_NANOS = 6_000_000_000L;
    private static final long RUN_NANOS = 10_000_000_000L;

    private static volatile long greyFrom = Long.MAX_VALUE;
    private static int greyRequests;

    public static void main(String[] args) throws Exception {
        Case.play(args, GreyRefusal::run);
    }

    private static boolean sound(Instance.Run run, Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(WORK_MILLIS);
        return Instance.reply(run, head, out, ("done " + run.request).getBytes());
    }

    private static boolean grey(Instance.Run run, Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        long sinceGrey = System.nanoTime() - greyFrom;
        if (sinceGrey < 0 || sinceGrey > GREY_NANOS || !isFailing()) {
            return sound(run, head, body, out);
        }
        Thread.sleep(WORK_MILLIS);
        byte[] text = "the ledger did not confirm".getBytes();
        out.write(("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + run.request
                        + "\r\nX-Response-Signature: f.1\r\nContent-Length: " + text.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(text);
        out.flush();
        run.end = "ran it, answered 503 without X-Not-Executed";
        return true;
    }

    private static synchronized boolean isFailing() {
        return greyRequests++ % 20 < FAILING_OF_20;
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
            Node node = new Node(setting, "node-" + i, "127.36.0." + (11 + i), ports);
            nodes.add(node);
            setting.open(node);
            Instance instance = new Instance("i-" + i, i == 0 ? "shop" : "orders", zones.get(i), node.ip, 12,
                    node.control, i == 2 ? GreyRefusal::grey : GreyRefusal::sound, record);
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
            if (setting.trouble() && i == 60) {
                greyFrom = System.nanoTime();
                record.write("i-2 is grey from now on for 6 s");
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
        Thread.sleep(500);
        return judge(answers, instances, record);
    }

    private static int judge(Map<String, Http.Answer> answers, List<Instance> instances, Record record) {
        long served = answers.values().stream().filter(a -> a.status() == 200).count();
        int broken = 0;
        for (Instance instance : instances) {
            for (Instance.Run run : instance.runs.values()) {
                int status = answers.get(run.request).status();
                if (status == 503 || status == 429) {
                    broken++;
                    record.write("REFUSED: " + run.request + " got " + status + " and was run by " + run.instance);
                }
            }
        }
        String summary = "requests " + answers.size() + ", served " + served + ", refused though run " + broken;
        record.write(summary);
        System.out.println(summary);
        if (served < answers.size() / 2) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
