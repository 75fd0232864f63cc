import java.util.ArrayList;
import java.util.List;

/** CONFIG: a route that was added later gets uploads of 14,000 bytes over narrow links, and none of them is served. */
final class LateRoute {
    private static final double LINK_MBPS = 4.9;
    private static final int REQUESTS = 20;
    private static final int FIRST_ROUTE_BYTES = 1_200;
    private static final int ADDED_ROUTE_BYTES = 14_000;
    private static final int LIMIT_MILLIS = 2_500;

    public static void main(String[] args) throws Exception {
        Case.play(args, LateRoute::run);
    }

    private static int run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Store store = setting.open(new Store());
        store.put("config", "main", Config.text("ingest", "upload", 2.5, 67_108_864));
        int[] ports = Node.freePorts();
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Node node = new Node(setting, "node-" + i, "127.38.0." + (11 + i), ports);
            node.linkMbps = LINK_MBPS;
            nodes.add(node);
            setting.open(node);
            Instance instance = setting.open(new Instance("i-" + i, i == 0 ? "shop" : "ingest", zones.get(i), node.ip,
                    6, node.control,
                    (run, head, body, out) -> !Instance.work(run, head, 72, out)
                            || Instance.reply(run, head, out, ("stored " + body.length).getBytes()),
                    record));
            node.start(zones.get(i), zones, ports, instance.service, instance.address(), store.port());
        }
        if (!Config.awaitReady(nodes, record)) {
            return 2;
        }
        Thread.sleep(4_000);
        if (setting.trouble()) {
            store.put("config", "main", Config.textWithRoute("ingest", "upload", 2.5, 67_108_864, "added"));
            record.write("operator adds the route /added/, acknowledged");
        }
        Thread.sleep(6_000);
        int first = send(nodes.get(0), "ingest", FIRST_ROUTE_BYTES, record);
        int added = setting.trouble() ? send(nodes.get(0), "added", ADDED_ROUTE_BYTES, record) : 0;
        String summary = "served on the first route " + first + " of " + REQUESTS
                + (setting.trouble() ? ", on the added one " + added + " of " + REQUESTS : "");
        record.write(summary);
        System.out.println(summary);
        if (first < REQUESTS / 2) {
            return 2;
        }
        return setting.trouble() && 4 * added < first ? 1 : 0;
    }

    /** Sends requests one after the other and returns how many were served. */
    private static int send(Node node, String route, int bytes, Record record) {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = route + i;
            record.write("send " + id + " to " + node.name + ", body " + bytes);
            Http.Answer answer = Http.call(node.outbound,
                    "POST /" + route + "/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: " + LIMIT_MILLIS + "\r\nContent-Length: " + bytes + "\r\n\r\n",
                    new byte[bytes], LIMIT_MILLIS + 500);
            record.write("answer to " + id + ": " + answer.status() + ", " + answer.end());
            served += answer.status() == 200 ? 1 : 0;
        }
        return served;
    }
}
