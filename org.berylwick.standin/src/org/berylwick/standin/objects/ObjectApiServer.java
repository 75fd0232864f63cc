package org.berylwick.standin.objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A store of objects by kind and name, with one revision counter, lists, watches, and troubles on demand. */
public final class ObjectApiServer implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PREFIX = "/objects/";

    private final HttpServer server;
    private final List<ClientPort> clientPorts = new ArrayList<>();
    private final Map<String, ObjectNode> objects = new TreeMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private long revision = 1;
    private long oldestKept;
    private volatile Trouble trouble = Trouble.NONE;

    /** What the store does to calls. */
    public enum Trouble {
        /** Nothing. */
        NONE,
        /** Answers 503. */
        BUSY,
        /** Closes the connection without an answer. */
        RESET,
        /** Does what is asked and closes the connection without an answer. */
        LOST,
        /** Answers a quarter of a second late. */
        SLOW
    }

    /** A port for one client, whose calls alone can be refused. */
    public final class ClientPort {
        private final HttpServer port = open(this::handle);
        private volatile boolean refused;

        private ClientPort() throws IOException {}

        /** The number of the port. */
        public int number() {
            return port.getAddress().getPort();
        }

        /** Answers 503 to this client from now on, or no more. */
        public void setRefused(boolean isRefused) {
            refused = isRefused;
        }

        private void handle(HttpExchange exchange) throws IOException {
            ObjectApiServer.this.handle(exchange, refused ? Trouble.BUSY : trouble);
        }
    }

    /** Opens it on a free port of loopback. */
    public ObjectApiServer() throws IOException {
        server = open(exchange -> handle(exchange, trouble));
    }

    private static HttpServer open(HttpHandler handler) throws IOException {
        HttpServer opened = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        opened.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        opened.createContext(PREFIX, handler);
        opened.start();
        return opened;
    }

    /** Opens another free port, for one client. */
    public ClientPort openClientPort() throws IOException {
        ClientPort opened = new ClientPort();
        clientPorts.add(opened);
        return opened;
    }

    /** The port it listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Calls so far. */
    public int calls() {
        return calls.get();
    }

    /** Makes trouble from now on. */
    public void setTrouble(Trouble kind) {
        trouble = kind;
    }

    /** Drops all history up to now. */
    public synchronized void forgetHistory() {
        oldestKept = revision + 1;
        notifyAll();
    }

    /** Writes an object as an operator does, whatever trouble there is for others. */
    public synchronized void put(String kind, String name, JsonNode spec) {
        String key = kind + "/" + name;
        ObjectNode object = objects.computeIfAbsent(key, k -> MAPPER.createObjectNode());
        revision++;
        long createdRev = object.path("metadata").path("createdRev").asLong(revision);
        object.putObject("metadata").put("name", name).put("rev", revision).put("createdRev", createdRev);
        object.set("spec", spec);
        notifyAll();
    }

    private void handle(HttpExchange exchange, Trouble now) throws IOException {
        calls.incrementAndGet();
        try (exchange) {
            if (now == Trouble.RESET) {
                return;
            }
            if (now == Trouble.BUSY) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            if (now == Trouble.SLOW) {
                Thread.sleep(250);
            }
            serve(exchange, now == Trouble.LOST);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(HttpExchange exchange, boolean lost) throws IOException, InterruptedException {
        String[] path =
                exchange.getRequestURI().getPath().substring(PREFIX.length()).split("/");
        byte[] body = exchange.getRequestBody().readAllBytes();
        String query = exchange.getRequestURI().getQuery();
        Reply reply = switch (exchange.getRequestMethod()) {
            case "GET" -> get(path, query);
            case "POST" -> create(path[0], MAPPER.readTree(body));
            case "PUT" ->
                path.length > 2 && path[2].equals("status")
                        ? replaceStatus(path[0], path[1], MAPPER.readTree(body))
                        : replace(path[0], path[1], MAPPER.readTree(body));
            default -> new Reply(405, MAPPER.createObjectNode());
        };
        if (lost) {
            return;
        }
        byte[] bytes = MAPPER.writeValueAsBytes(reply.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private record Reply(int status, ObjectNode body) {}

    private Reply get(String[] path, String query) throws InterruptedException {
        if (path.length > 1) {
            return find(path[0] + "/" + path[1]);
        }
        return query != null && query.contains("watch=") ? watch(path[0], query) : list(path[0]);
    }

    private synchronized Reply find(String key) {
        ObjectNode object = objects.get(key);
        return object == null ? new Reply(404, MAPPER.createObjectNode()) : new Reply(200, object.deepCopy());
    }

    private synchronized Reply list(String kind) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode items = answer.putArray("items");
        ofKind(kind).forEach(items::add);
        return new Reply(200, answer.put("more", false).put("asOf", revision));
    }

    private List<ObjectNode> ofKind(String kind) {
        List<ObjectNode> found = new ArrayList<>();
        objects.forEach((key, object) -> {
            if (key.startsWith(kind + "/")) {
                found.add(object.deepCopy());
            }
        });
        return found;
    }

    private synchronized Reply watch(String kind, String query) throws InterruptedException {
        long from = number(query, "watch");
        long until = System.nanoTime() + number(query, "waitMs") * 1_000_000;
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode events = answer.putArray("events");
        while (true) {
            if (from < oldestKept) {
                return new Reply(410, answer);
            }
            for (ObjectNode object : ofKind(kind)) {
                if (object.path("metadata").path("rev").asLong() > from) {
                    events.addObject().put("removed", false).set("object", object);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Reply(200, answer.put("asOf", revision));
            }
            wait(left);
        }
    }

    private static long number(String query, String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return Long.parseLong(part.substring(name.length() + 1));
            }
        }
        return 0;
    }

    private synchronized Reply create(String kind, JsonNode sent) {
        String name = sent.path("metadata").path("name").asText();
        ObjectNode existing = objects.get(kind + "/" + name);
        if (existing != null) {
            return new Reply(409, existing);
        }
        put(kind, name, sent.path("spec"));
        return new Reply(201, objects.get(kind + "/" + name));
    }

    /** Replaces the specification, unless the object has changed since the revision that the caller names. */
    private synchronized Reply replace(String kind, String name, JsonNode sent) {
        ObjectNode object = objects.get(kind + "/" + name);
        if (object == null) {
            return new Reply(404, MAPPER.createObjectNode());
        }
        if (hasChanged(object, sent)) {
            return new Reply(409, object);
        }
        put(kind, name, sent.path("spec"));
        return new Reply(200, objects.get(kind + "/" + name));
    }

    private static boolean hasChanged(ObjectNode object, JsonNode sent) {
        long current = object.path("metadata").path("rev").asLong();
        return sent.path("metadata").path("rev").asLong(current) != current;
    }

    /** Replaces the status, unless the object has changed since the revision that the caller names. */
    private synchronized Reply replaceStatus(String kind, String name, JsonNode sent) {
        ObjectNode object = objects.get(kind + "/" + name);
        if (object == null) {
            return new Reply(404, MAPPER.createObjectNode());
        }
        if (hasChanged(object, sent)) {
            return new Reply(409, object);
        }
        object.set("status", sent.path("status"));
        put(kind, name, object.path("spec"));
        return new Reply(200, object);
    }

    /** The status of an object as the nodes have written it, missing if there is none. */
    public synchronized JsonNode status(String kind, String name) {
        ObjectNode object = objects.get(kind + "/" + name);
        return object == null ? MAPPER.missingNode() : object.path("status").deepCopy();
    }

    /** Removes an object as an operator does. */
    public synchronized void remove(String kind, String name) {
        revision++;
        objects.remove(kind + "/" + name);
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
        clientPorts.forEach(opened -> opened.port.stop(0));
    }
}
