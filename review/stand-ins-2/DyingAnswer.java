import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** MIXED: an instance that has said that it leaves is gone 2 s later, in the middle of answers without a length. */
final class DyingAnswer {
    private static final int REQUESTS = 16;

    public static void main(String[] args) throws Exception {
        Case.play(args, DyingAnswer::run);
    }

    /** A process of an instance. */
    private record Server(Process process, BufferedReader out, String address) implements AutoCloseable {
        static Server start(String id, String service, String zone, Node node, Path temporary) throws Exception {
            Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-cp",
                            System.getProperty("java.class.path"), "InstanceProcess", id, service, zone, node.ip,
                            node.control.getAddress().getHostAddress() + ":" + node.control.getPort(),
                            temporary.resolve(id + ".txt").toString())
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            return new Server(process, out, out.readLine());
        }

        String tell(String line) throws Exception {
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            process.getOutputStream().flush();
            return out.readLine();
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    private static int run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Store store = setting.open(new Store());
        store.put("config", "main", Config.text("archives", "download", 6, 67_108_864));
        int[] ports = Node.freePorts();
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Node> nodes = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Node node = new Node(setting, "node-" + i, "127.33.0." + (11 + i), ports);
            nodes.add(node);
            setting.open(node);
            // The requesters are beside an instance of another service.
            String service = i == 0 ? "shop" : "archives";
            Server server = Server.start("i-" + i, service, zones.get(i), node, setting.temporary());
            servers.add(server);
            setting.open(server);
            node.start(zones.get(i), zones, ports, service, server.address(), store.port());
        }
        if (!Config.awaitReady(nodes, record)) {
            return 2;
        }
        Thread.sleep(4_000);
        Map<String, Http.Answer> answers = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            Thread caller = new Thread(() -> {
                record.write("send " + id + " to node-0");
                Http.Answer answer = Http.call(nodes.get(0).outbound,
                        "GET /archives/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                                + "\r\nX-Deadline-Ms: 7000\r\n\r\n",
                        new byte[0], 8_000);
                record.write("answer to " + id + ": " + answer.status() + ", " + answer.end() + ", "
                        + answer.body().length + " bytes, signature "
                        + answer.header("x-response-signature"));
                answers.put(id, answer);
            });
            caller.start();
            callers.add(caller);
            Thread.sleep(50);
        }
        Thread.sleep(600);
        record.write("i-1: " + servers.get(1).tell("drain"));
        if (setting.trouble()) {
            // It is gone 2 s after the notice.
            Thread.sleep(2_000);
            record.write("SIGKILL to the process of i-1");
            servers.get(1).process().destroyForcibly();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        return judge(answers, record);
    }

    private static int judge(Map<String, Http.Answer> answers, Record record) {
        int whole = 0;
        int broken = 0;
        for (Map.Entry<String, Http.Answer> entry : answers.entrySet()) {
            Http.Answer answer = entry.getValue();
            if (answer.status() != 200) {
                continue;
            }
            if (Arrays.equals(answer.body(), InstanceProcess.whole(entry.getKey()))) {
                whole++;
            } else {
                broken++;
                record.write("MIXED: " + entry.getKey() + " got 200, signed "
                        + answer.header("x-response-signature") + ", as complete with " + answer.body().length + " of "
                        + InstanceProcess.PIECES * InstanceProcess.PIECE_BYTES + " bytes");
            }
        }
        String summary = "requests " + answers.size() + ", whole " + whole + ", cut short " + broken;
        record.write(summary);
        System.out.println(summary);
        return broken > 0 ? 1 : whole == 0 ? 2 : 0;
    }
}
