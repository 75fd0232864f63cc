import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store: objects by kind and name, revisions, lists and watches. */
final class Store implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]*)\"");
    private static final Pattern REV = Pattern.compile("\"rev\":(\\d+)");

    private final HttpServer server;
    private final Map<String, Map<String, Stored>> kinds = new TreeMap<>();
    private long revision = 100;

    private record Stored(String name, long rev, long createdRev, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":" + rev + ",\"createdRev\":" + createdRev
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes an object as the operator does. */
    synchronized void put(String kind, String name, String spec) {
        store(kind, name, spec);
    }

    private Stored store(String kind, String name, String spec) {
        Map<String, Stored> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Stored before = objects.get(name);
        if (before != null && before.spec().equals(spec)) {
            return before;
        }
        revision++;
        Stored after = new Stored(name, revision, before == null ? revision : before.createdRev(), spec);
        objects.put(name, after);
        notifyAll();
        return after;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath().substring("/objects/".length());
            String query = exchange.getRequestURI().getQuery() == null ? "" : exchange.getRequestURI().getQuery();
            int slash = path.indexOf('/');
            String kind = slash < 0 ? path : path.substring(0, slash);
            String name = slash < 0 ? "" : path.substring(slash + 1);
            Thread.sleep(4);
            answer(exchange, exchange.getRequestMethod(), kind, name, query, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void answer(HttpExchange exchange, String method, String kind, String name, String query, String body)
            throws IOException, InterruptedException {
        switch (method) {
            case "GET" -> {
                if (!name.isEmpty()) {
                    Stored found = find(kind, name);
                    send(exchange, found == null ? 404 : 200, found == null ? "{}" : found.json());
                } else if (query.contains("watch=")) {
                    send(exchange, 200, watch(kind, number(query, "watch"), number(query, "waitMs")));
                } else {
                    send(exchange, 200, list(kind));
                }
            }
            case "POST" -> {
                String posted = group(NAME, body);
                Stored found = find(kind, posted);
                send(exchange, found == null ? 201 : 409, found == null ? write(kind, posted, body) : found.json());
            }
            case "PUT" -> {
                Stored found = find(kind, name);
                String stated = group(REV, body.substring(0, Math.max(0, body.indexOf("\"spec\""))));
                if (found == null) {
                    send(exchange, 404, "{}");
                } else if (!stated.isEmpty() && Long.parseLong(stated) != found.rev()) {
                    send(exchange, 409, found.json());
                } else {
                    send(exchange, 200, write(kind, name, body));
                }
            }
            default -> send(exchange, 404, "{}");
        }
    }

    private synchronized Stored find(String kind, String name) {
        return kinds.getOrDefault(kind, Map.of()).get(name);
    }

    private synchronized String write(String kind, String name, String body) {
        int from = body.indexOf("\"spec\":") + "\"spec\":".length();
        return store(kind, name, body.substring(from, body.lastIndexOf('}'))).json();
    }

    private synchronized String list(String kind) {
        StringBuilder items = new StringBuilder();
        for (Stored stored : kinds.getOrDefault(kind, Map.of()).values()) {
            items.append(items.isEmpty() ? "" : ",").append(stored.json());
        }
        return "{\"items\":[" + items + "],\"more\":false,\"asOf\":" + revision + "}";
    }

    private synchronized String watch(String kind, long from, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Stored stored : kinds.getOrDefault(kind, Map.of()).values()) {
                if (stored.rev() > from) {
                    events.append(events.isEmpty() ? "" : ",")
                            .append("{\"removed\":false,\"object\":" + stored.json() + "}");
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + events + "],\"asOf\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static long number(String query, String key) {
        String value = group(Pattern.compile(key + "=(\\d+)"), query);
        return value.isEmpty() ? 0 : Long.parseLong(value);
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
