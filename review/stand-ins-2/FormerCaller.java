import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** UNASKED: the settings file names another service without a signal; requests go on in the name of the former one. */
final class FormerCaller {
    private static final long TIME_TO_NOTICE_MILLIS = 12_000;
    private static final int REQUESTS = 40;

    private static final Map<String, String> CALLERS = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Case.play(args, FormerCaller::run);
    }

    private static boolean answer(Instance.Run run, Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        CALLERS.put(run.request, head.header("x-caller-service"));
        Thread.sleep(20);
        return Instance.reply(run, head, out, ("done " + run.request).getBytes());
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
            Node node = new Node(setting, "node-" + i, "127.37.0." + (11 + i), ports);
            nodes.add(node);
            setting.open(node);
            Instance instance = new Instance("i-" + i, i == 0 ? "shop" : "orders", zones.get(i), node.ip, 12,
                    node.control, FormerCaller::answer, record);
            setting.open(instance);
            instances.add(instance);
            node.start(zones.get(i), zones, ports, instance.service, instance.address(), store.port());
        }
        if (!Config.awaitReady(nodes, record)) {
            return 2;
        }
        Thread.sleep(3_000);
        send(nodes.get(0), "before", record);
        // The instance of the shop leaves, and one of the stock takes its address and its place on the machine.
        Instance former = instances.get(0);
        record.write("i-0 says that it leaves, acknowledged: " + former.drain());
        Thread.sleep(2_500);
        int port = former.listener.getLocalPort();
        former.close();
        Thread.sleep(2_200);
        nodes.get(0).changeService("stock");
        if (!setting.trouble()) {
            nodes.get(0).hangUp();
        }
        Instance latter = setting.open(new Instance("i-9", "stock", zones.get(0), nodes.get(0).ip, port, 12,
                nodes.get(0).control, FormerCaller::answer, record));
        record.write("i-9 of the service stock runs at " + latter.address());
        Thread.sleep(TIME_TO_NOTICE_MILLIS);
        send(nodes.get(0), "after", record);
        int known = 0;
        int broken = 0;
        for (Map.Entry<String, String> entry : CALLERS.entrySet()) {
            String expected = entry.getKey().startsWith("before") ? "shop" : "stock";
            known++;
            if (!entry.getValue().equals(expected)) {
                broken++;
                record.write("UNASKED: " + entry.getKey() + " runs with X-Caller-Service " + entry.getValue()
                        + "; the service of the machine is " + expected);
            }
        }
        String summary = "requests run " + known + ", in the name of another service " + broken;
        record.write(summary);
        System.out.println(summary);
        return known < REQUESTS ? 2 : broken > 0 ? 1 : 0;
    }

    private static void send(Node node, String prefix, Record record) {
        for (int i = 0; i < REQUESTS; i++) {
            String id = prefix + i;
            byte[] body = ("order " + id).getBytes();
            record.write("send " + id + " to " + node.name);
            Http.Answer answer = Http.call(node.outbound,
                    "POST /orders/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + body.length + "\r\n\r\n",
                    body, 6_000);
            record.write("answer to " + id + ": " + answer.status() + ", " + answer.end());
        }
    }
}
