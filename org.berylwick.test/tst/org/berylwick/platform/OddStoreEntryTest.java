package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.lib.UnusableEntry;
import org.berylwick.node.member.NodeDirectory;
import org.berylwick.node.rollout.RolloutOrders;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.ConfigurationSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Another program writes one entry that is nested deeply, or has a number or a string that cannot be represented. The
 * page of the list that contains the entry was rejected as a whole: nodes that started found no other nodes, read no
 * orders and no configuration, and could not register if the entry was their own. Only that entry may be lost.
 */
@Timeout(60)
class OddStoreEntryTest {
    private static final String CONFIGURATION =
            "{\"metadata\":{\"name\":\"main\",\"rev\":15},\"spec\":{\"version\":\"0000000a\"}}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private Function<String, String> responder = uri -> "{}";
    private int status = 200;
    private BufferedHttpServer server;
    private ObjectStore store;

    @BeforeEach
    void openStore() {
        server = BufferedHttpServer.open(loop, new InetSocketAddress("127.0.0.1", 0), request -> {
            byte[] body = responder.apply(request.uri()).getBytes(StandardCharsets.UTF_8);
            return new BufferedHttpServer.Response(status, java.util.Map.of(), body);
        });
        store = new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port()));
    }

    @AfterEach
    void closeStore() {
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    static List<String> oddValues() {
        return List.of(
                "[".repeat(50) + "]".repeat(50),
                "[".repeat(100_000) + "]".repeat(100_000),
                "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                "9".repeat(30),
                "-" + "9".repeat(1_000_000),
                "1e999999999",
                "1." + "9".repeat(1_000_000) + "e400",
                "\"\\ud800\"",
                "{\"\\udc00\":1}");
    }

    private <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.get(20, TimeUnit.SECONDS);
    }

    private NodeDirectory.ListResult.Listed listNodes() throws Exception {
        return assertInstanceOf(
                NodeDirectory.ListResult.Listed.class, this.<NodeDirectory.ListResult>await(directory()::list));
    }

    private StoredDirectory directory() {
        return new StoredDirectory(store);
    }

    private static String page(String... items) {
        return "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"asOf\":300}";
    }

    private static String node(String name, String ip) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":4},\"spec\":{\"ip\":" + ip + "}}";
    }

    @ParameterizedTest
    @MethodSource("oddValues")
    void oddNodeEntryCostsItselfAlone(String odd) throws Exception {
        responder = uri -> page(
                node("a", "\"10.0.0.1\""),
                node("b", odd),
                "{\"metadata\":{\"name\":\"c\"},\"spec\":" + odd + "}",
                odd,
                "{\"metadata\":" + odd + ",\"spec\":null}",
                node("d", "\"10.0.0.4\""));
        NodeDirectory.ListResult.Listed listed = listNodes();
        assertEquals(List.of("10.0.0.1", "10.0.0.4"), listed.addresses());
        assertEquals(
                List.of("b", "c", "", ""),
                listed.unusable().stream().map(UnusableEntry::name).toList());
    }

    @ParameterizedTest
    @MethodSource("oddValues")
    void oddOrderCostsItselfAlone(String odd) throws Exception {
        String order = "{\"metadata\":{\"name\":\"%1$s\",\"rev\":4,\"createdRev\":3},\"spec\":{\"service\":\"%1$s\","
                + "\"targetVersion\":\"v2\",\"durationS\":%2$s},\"status\":null}";
        responder = uri -> page(order.formatted("a", "10"), order.formatted("b", odd), odd, order.formatted("d", "10"));
        RolloutOrders.ListResult.Listed listed = assertInstanceOf(
                RolloutOrders.ListResult.Listed.class,
                this.<RolloutOrders.ListResult>await(new StoredRollouts(store)::list));
        assertEquals(
                List.of("a", "d"),
                listed.orders().stream().map(RolloutOrders.Order::service).toList());
        assertEquals(
                List.of("b", ""),
                listed.unusable().stream().map(UnusableEntry::name).toList());
        assertEquals(300, listed.revision());
    }

    @ParameterizedTest
    @MethodSource("oddValues")
    void configurationIsReadAndWatchedBesideAnOddEntry(String odd) throws Exception {
        responder = uri -> uri.contains("watch=")
                ? "{\"events\":[{\"object\":" + node("x", odd) + "},{\"object\":" + CONFIGURATION + "}," + odd
                        + "],\"asOf\":301}"
                : page(node("a", odd), odd, CONFIGURATION);
        StoredConfiguration configuration = new StoredConfiguration(store);
        ConfigurationSource.ReadResult.Found found = assertInstanceOf(
                ConfigurationSource.ReadResult.Found.class,
                this.<ConfigurationSource.ReadResult>await(
                        onResult -> configuration.read(ConfigurationSource.Consistency.LINEARIZABLE, onResult)));
        assertEquals(10, found.version().number());
        assertEquals(300, found.revision());
        ConfigurationSource.ReadResult.Found watched = assertInstanceOf(
                ConfigurationSource.ReadResult.Found.class,
                this.<ConfigurationSource.ReadResult>await(onResult -> configuration.watch(300, 100, onResult)));
        assertEquals(301, watched.revision());
    }

    /** Guards against a node that cannot register, and so never reads the directory, because its entry is odd. */
    @ParameterizedTest
    @MethodSource("oddValues")
    void oddEntryOfTheNodeItselfIsReplacedByItsRevision(String odd) throws Exception {
        status = 409;
        responder = uri -> node("vm-1", odd);
        NodeDirectory.Entry entry = new NodeDirectory.Entry("vm-1", "10.0.0.1", List.of(), List.of());
        NodeDirectory.WriteResult.Conflict conflict = assertInstanceOf(
                NodeDirectory.WriteResult.Conflict.class,
                this.<NodeDirectory.WriteResult>await(onResult -> directory().create(entry, 2_000, onResult)));
        assertEquals(4, conflict.revision());
        assertEquals("", conflict.stored().ip());
    }

    /** Guards against departures that are held to be none because the entry that lists them cannot be read. */
    @ParameterizedTest
    @MethodSource("oddValues")
    void oddEntryOfAnotherNodeSaysNothingOfItsDepartures(String odd) throws Exception {
        responder = uri -> "{\"metadata\":{\"name\":\"vm-2\",\"rev\":4},\"spec\":{\"ip\":\"10.0.0.2\",\"departures\":"
                + odd + "}}";
        assertInstanceOf(
                NodeDirectory.ReadResult.Failed.class,
                this.<NodeDirectory.ReadResult>await(onResult -> directory().read("vm-2", 2_000, onResult)));
    }

    @Test
    void entryThatIsMendedIsPickedUp() throws Exception {
        responder = uri -> page(node("a", "9".repeat(30)), node("b", "\"10.0.0.2\""));
        assertEquals(List.of("10.0.0.2"), listNodes().addresses());
        responder = uri -> page(node("a", "\"10.0.0.1\""), node("b", "\"10.0.0.2\""));
        assertEquals(List.of("10.0.0.1", "10.0.0.2"), listNodes().addresses());
    }

    /**
     * Guards against crashes of no known time counting as new ones, or as crashes in the future that hold for years.
     */
    @ParameterizedTest
    @ValueSource(
            longs = {
                Long.MIN_VALUE,
                -10_000_000_000_000_000L,
                -13_000_000_000_000L,
                -1,
                0,
                1,
                Long.MAX_VALUE - 1,
                Long.MAX_VALUE
            })
    void crashOfAnyTimeLiesInThePast(long epochMillis) throws Exception {
        responder = uri -> page("{\"metadata\":{\"name\":\"a\"},\"spec\":{\"ip\":\"10.0.0.1\",\"crashes\":[\"1;2;3;4;"
                + epochMillis + "\"]}}");
        long startedAt = System.nanoTime();
        for (SuspectReport.Crashed crash : listNodes().crashes()) {
            long ageNanos = System.nanoTime() - crash.at();
            assertTrue(ageNanos >= 0, "age " + ageNanos);
            boolean future = epochMillis > System.currentTimeMillis();
            assertTrue(future || crash.at() - startedAt < -TimeUnit.DAYS.toNanos(365), "age " + ageNanos);
        }
    }

    /** Guards against an entry that floods the record of crashes, or leaves out the latest departures in a datagram. */
    @Test
    void entryWithManyElementsIsCut() throws Exception {
        String crashes = IntStream.range(0, 20_000)
                .mapToObj(i -> "\"" + i + ";2;3;4;5\"")
                .collect(Collectors.joining(","));
        String departures =
                IntStream.range(0, 20_000).mapToObj(i -> "\"i-" + i + "\"").collect(Collectors.joining(","));
        String entry = "{\"metadata\":{\"name\":\"vm-2\",\"rev\":4},\"spec\":{\"ip\":\"10.0.0.2\",\"crashes\":["
                + crashes + "],\"departures\":[" + departures + "]}}";
        responder = uri -> uri.contains("vm-2") ? entry : page(entry);
        assertTrue(listNodes().crashes().size() <= NodeDirectory.Entry.MAX_CRASHES);
        NodeDirectory.ReadResult.Found found = assertInstanceOf(
                NodeDirectory.ReadResult.Found.class,
                this.<NodeDirectory.ReadResult>await(onResult -> directory().read("vm-2", 2_000, onResult)));
        assertTrue(found.entry().departures().size() <= NodeDirectory.Entry.MAX_DEPARTURES);
        assertEquals("i-19999", found.entry().departures().getLast());
    }
}
