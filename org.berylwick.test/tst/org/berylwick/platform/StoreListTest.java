package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.member.NodeDirectory;
import org.berylwick.node.rollout.RolloutOrders;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.ConfigurationSource;
import org.berylwick.node.version.ConfigurationSource.ReadResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Reads lists of the store that have several pages, names of entries with any characters, and pages that are no lists.
 */
@Timeout(60)
class StoreListTest {
    private static final String CONFIGURATION =
            "{\"metadata\":{\"name\":\"main\",\"rev\":15},\"spec\":{\"version\":\"0000000a\"}}";
    private static final String ORDER = "{\"metadata\":{\"name\":\"work\",\"rev\":4,\"createdRev\":3},"
            + "\"spec\":{\"service\":\"work\",\"targetVersion\":\"v2\",\"durationS\":10}}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<String> uris = new CopyOnWriteArrayList<>();
    private Function<Optional<String>, String> pageAfter = after -> "{}";
    private BufferedHttpServer server;
    private ObjectStore store;

    @BeforeEach
    void openStore() {
        server = BufferedHttpServer.open(loop, new InetSocketAddress("127.0.0.1", 0), request -> {
            uris.add(request.uri());
            List<String> after =
                    new QueryStringDecoder(request.uri()).parameters().getOrDefault("after", List.of());
            String body = pageAfter.apply(after.stream().findFirst());
            return BufferedHttpServer.Response.of("application/json", body.getBytes(StandardCharsets.UTF_8));
        });
        store = new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port()));
    }

    @AfterEach
    void closeStore() {
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.get(5, TimeUnit.SECONDS);
    }

    private NodeDirectory.ListResult listNodes() throws Exception {
        return await(new StoredDirectory(store)::list);
    }

    private RolloutOrders.ListResult listOrders() throws Exception {
        return await(new StoredRollouts(store)::list);
    }

    private ReadResult readConfiguration() throws Exception {
        return await(onResult ->
                new StoredConfiguration(store).read(ConfigurationSource.Consistency.LINEARIZABLE, onResult));
    }

    private static String page(boolean more, int revision, String... items) {
        return "{\"items\":[" + String.join(",", items) + "],\"more\":" + more + ",\"asOf\":" + revision + "}";
    }

    private static String large(String name) {
        return "{\"metadata\":{\"name\":" + JsonText.quote(name) + ",\"rev\":7},\"spec\":{\"text\":\""
                + "x".repeat(1_000_000) + "\"}}";
    }

    /** Guards against an entry so large that it fills the first page, and hides the orders on the next one. */
    @Test
    void ordersAreReadFromAllPages() throws Exception {
        pageAfter = after -> after.isEmpty() ? page(true, 300, large("a")) : page(false, 302, ORDER);
        RolloutOrders.ListResult.Listed listed = assertInstanceOf(RolloutOrders.ListResult.Listed.class, listOrders());
        assertEquals(
                List.of("work"),
                listed.orders().stream().map(RolloutOrders.Order::service).toList());
        assertEquals(300, listed.revision());
    }

    /** Guards against an entry so large that the configuration seems to be missing. */
    @Test
    void configurationIsReadFromAllPages() throws Exception {
        pageAfter = after -> after.isEmpty() ? page(true, 300, large("a")) : page(false, 302, CONFIGURATION);
        ReadResult.Found found = assertInstanceOf(ReadResult.Found.class, readConfiguration());
        assertEquals(10, found.version().number());
        // A watch from the first page's revision sees every change since.
        assertEquals(300, found.revision());
    }

    /** Guards against a name that alters the request for the next page, or that no request can contain. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "a&after=", "a#b", "a%2", "a+b", "a?b=c", "a\r\nX-Y: z", "\u0001", "é\ud83d\ude00"})
    void listContinuesAfterAnyName(String name) throws Exception {
        String entry = "{\"metadata\":{\"name\":" + JsonText.quote(name) + "},\"spec\":{\"ip\":\"10.0.0.1\"}}";
        pageAfter = after -> after.isEmpty()
                ? page(true, 300, entry)
                : page(false, 300, after.get().equals(name) ? entry.replace("10.0.0.1", "10.0.0.2") : "");
        NodeDirectory.ListResult.Listed listed = assertInstanceOf(NodeDirectory.ListResult.Listed.class, listNodes());
        assertEquals(List.of("10.0.0.1", "10.0.0.2"), listed.addresses());
    }

    /** Guards against an outcome that is written elsewhere, or a call that never ends, because of a service's name. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "../config/main", "a/status?x=", "a\r\nX-Y: z", "a#b"})
    void outcomeIsWrittenToTheOrderOfAnyName(String service) throws Exception {
        RolloutOrders.Order order = new RolloutOrders.Order(service, "v2", 1, 3, 4, Optional.empty());
        assertEquals(
                true,
                this.<Boolean>await(onResult -> new StoredRollouts(store).tell(order, RolloutPhase.TRIAL, onResult)));
        assertEquals(1, uris.size());
        QueryStringDecoder uri = new QueryStringDecoder(uris.get(0));
        assertEquals("/objects/rollouts/" + service + "/status", uri.path());
        assertEquals(java.util.Map.of(), uri.parameters());
    }

    /** Guards against a page that is no list being taken for an empty list. */
    @ParameterizedTest
    @ValueSource(strings = {"null", "[]", "{}", "7", "{\"items\":{}}", "{\"items\":{},\"asOf\":3}", "{\"items\":[}"})
    void pageThatIsNoListFails(String body) throws Exception {
        pageAfter = after -> body;
        assertInstanceOf(NodeDirectory.ListResult.Failed.class, listNodes());
        assertInstanceOf(RolloutOrders.ListResult.Failed.class, listOrders());
        assertInstanceOf(ReadResult.Failed.class, readConfiguration());
    }

    /**
     * Guards against a watch that is repeated without a pause: a response without events and revision was taken for one
     * without changes, after which the node watches the same revision again at once.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "[]",
                "{}",
                "7",
                "{\"events\":[]}",
                "{\"events\":{},\"asOf\":301}",
                "{\"events\":[],\"asOf\":\"9\"}"
            })
    void watchResponseWithoutEventsOrRevisionFails(String body) throws Exception {
        pageAfter = after -> body;
        assertInstanceOf(
                ReadResult.Failed.class,
                this.<ReadResult>await(onResult -> new StoredConfiguration(store).watch(300, 100, onResult)));
    }

    /** Guards against a store being held to fail because it leaves out, or sends as null, what is empty. */
    @Test
    void emptyListMayBeMissing() throws Exception {
        pageAfter = after -> "{\"items\":null,\"more\":false,\"asOf\":301}";
        assertEquals(new NodeDirectory.ListResult.Listed(List.of(), List.of()), listNodes());
        assertEquals(new RolloutOrders.ListResult.Listed(List.of(), 301), listOrders());
        assertInstanceOf(ReadResult.Missing.class, readConfiguration());
        pageAfter = after -> "{\"asOf\":301}";
        assertEquals(
                new ReadResult.Unchanged(301),
                this.<ReadResult>await(onResult -> new StoredConfiguration(store).watch(300, 100, onResult)));
    }
}
