package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.member.HeartbeatProtocol.DecodeResult;
import org.berylwick.node.member.NodeDirectory.ListResult;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.ConfigurationSource;
import org.junit.jupiter.api.Test;

/**
 * Heartbeats and directory entries with fields that are missing, of another type or corrupted, as other software may
 * write them. When they were decoded leniently, a report with an unknown state counted as ready, one without slots
 * counted as one slot, and an entry without an address became a node with an empty address. Such input must be rejected
 * without any effect on valid input.
 */
class InvalidPlatformInputTest {
    private static final String HEARTBEAT =
            "{\"address\":\"10.0.0.1:5\",\"info\":{\"service\":\"s\",\"version\":\"v1\","
                    + "\"zone\":\"a\",\"slots\":12},\"status\":{\"state\":\"ready\",\"seq\":4,\"warmupLeftS\":1.5}}";

    private static DecodeResult decodeHeartbeat(String body) {
        return new HeartbeatCodec().decode("PUT", "/instances/i-1", body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void heartbeatsWithMissingOrInvalidFieldsAreMalformed() {
        assertInstanceOf(DecodeResult.Report.class, decodeHeartbeat(HEARTBEAT));
        List<String> invalidBodies = List.of(
                HEARTBEAT.replace("\"state\":\"ready\",", ""),
                HEARTBEAT.replace("\"ready\"", "\"sleeping\""),
                HEARTBEAT.replace("\"ready\"", "7"),
                HEARTBEAT.replace("\"slots\":12", "\"slots\":\"12\""),
                HEARTBEAT.replace("\"slots\":12", "\"slots\":0"),
                HEARTBEAT.replace("\"seq\":4,", ""),
                HEARTBEAT.replace("\"seq\":4", "\"seq\":\"4\""),
                HEARTBEAT.replace("\"service\":\"s\",", ""),
                HEARTBEAT.replace("\"service\":\"s\"", "\"service\":\"\""),
                HEARTBEAT.replace("10.0.0.1:5", "backend.example:5"),
                HEARTBEAT.replace("10.0.0.1:5", "10.0.0.1:99999"),
                HEARTBEAT.replace("\"address\":\"10.0.0.1:5\"", "\"address\":5"),
                withBorn("-1"),
                withBorn("1.7e12"),
                withBorn("1700000000000.5"),
                withBorn("\"1700000000000\""),
                withBorn("true"),
                withBorn("{}"),
                withBorn("99999999999999999"),
                withBorn("99999999999999999999999"),
                "[]",
                "null",
                "");
        for (String body : invalidBodies) {
            assertInstanceOf(DecodeResult.Malformed.class, decodeHeartbeat(body), body);
        }
    }

    private static String withBorn(String born) {
        return HEARTBEAT.replace("{\"address\"", "{\"born\":" + born + ",\"address\"");
    }

    /**
     * Guards against starts under one id that can't be told apart, and against a value made up where none is stated.
     */
    @Test
    void startIsReadWhereStated() {
        assertEquals(new Incarnation("i-1", 1_700_000_000_000L), incarnationIn(withBorn("1700000000000")));
        assertEquals(Incarnation.of("i-1"), incarnationIn(HEARTBEAT));
        assertEquals(Incarnation.of("i-1"), incarnationIn(withBorn("null")));
        assertEquals("i-1", incarnationIn(HEARTBEAT).text());
    }

    private static Incarnation incarnationIn(String body) {
        return assertInstanceOf(DecodeResult.Report.class, decodeHeartbeat(body))
                .report()
                .incarnation();
    }

    @Provide
    Arbitrary<byte[]> mutated() {
        byte[] original = HEARTBEAT.getBytes(StandardCharsets.UTF_8);
        Arbitrary<Integer> offset = Arbitraries.integers().between(0, original.length - 1);
        Arbitrary<Byte> replacement = Arbitraries.bytes();
        Arbitrary<Integer> length = Arbitraries.integers().between(0, original.length);
        return Combinators.combine(
                        offset.list().ofMaxSize(4), replacement.list().ofSize(4), length)
                .as((offsets, replacements, newLength) -> {
                    byte[] bytes = original.clone();
                    for (int i = 0; i < offsets.size(); i++) {
                        bytes[offsets.get(i)] = replacements.get(i);
                    }
                    // A third of the heartbeats are truncated, too.
                    return newLength % 3 == 0 ? java.util.Arrays.copyOf(bytes, newLength) : bytes;
                });
    }

    @Property(tries = 3_000)
    void mutatedHeartbeatsNeitherThrowNorYieldAnUnusableBackendServer(@ForAll("mutated") byte[] body) {
        if (new HeartbeatCodec().decode("PUT", "/instances/i-1", body) instanceof DecodeResult.Report decoded) {
            BackendReport report = decoded.report();
            assertTrue(report.slots() > 0);
            assertTrue(report.sequence() >= 0);
            assertTrue(report.warmUpNanos() >= 0);
            assertTrue(report.state() == BackendState.READY || report.state() == BackendState.DRAINING);
            assertTrue(!report.service().isBlank());
            assertTrue(!report.address().isUnresolved());
        }
    }

    @Property(tries = 2_000)
    void arbitraryBytesAreDecodedOrRejectedAsAConfiguration(@ForAll byte[] body) {
        ConfigurationSource.ReadResult result = new ConfigurationCodec().decode(body, 1);
        assertTrue(result instanceof ConfigurationSource.ReadResult.Invalid
                || result instanceof ConfigurationSource.ReadResult.Found);
    }

    @Test
    void deepNestingAndOversizedNumbersAreRejected() {
        String deeplyNested = "[".repeat(5_000) + "]".repeat(5_000);
        assertEquals(Optional.empty(), JsonValue.parse(deeplyNested.getBytes(StandardCharsets.UTF_8)));
        String oversizedNumber = "{\"seq\":" + "9".repeat(60) + "}";
        assertEquals(Optional.empty(), JsonValue.parse(oversizedNumber.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * The store returns the directory in three pages. The last entry of the first page has no name, and some entries
     * have no valid address.
     */
    @Test
    void invalidDirectoryEntriesAreSkippedAndDoNotEndPaging() throws Exception {
        List<String> requestedUris = new ArrayList<>();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        try (BufferedHttpServer server =
                BufferedHttpServer.open(loop, new InetSocketAddress("127.0.0.1", 0), request -> {
                    requestedUris.add(request.uri());
                    Matcher afterParameter = Pattern.compile("after=(\\w+)").matcher(request.uri());
                    String page = !afterParameter.find()
                            ? entry("a", "\"10.0.0.1\"") + "," + entry("b", "7") + ",{\"spec\":{\"ip\":\"10.0.0.3\"}}"
                            : afterParameter.group(1).equals("b")
                                    ? entry("c", "\"\"") + "," + entry("d", "\"10.0.0.4\"")
                                    : "";
                    boolean more = !page.isEmpty();
                    return BufferedHttpServer.Response.of(
                            "application/json",
                            ("{\"items\":[" + page + "],\"more\":" + more + "}").getBytes(StandardCharsets.UTF_8));
                })) {
            StoredDirectory directory =
                    new StoredDirectory(new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port())));
            CompletableFuture<ListResult> result = new CompletableFuture<>();
            loop.execute(() -> directory.list(result::complete));
            ListResult.Listed listed = assertInstanceOf(ListResult.Listed.class, result.get(10, TimeUnit.SECONDS));
            assertEquals(List.of("10.0.0.1", "10.0.0.3", "10.0.0.4"), listed.addresses());
            assertEquals(3, requestedUris.size());
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static String entry(String name, String ip) {
        return "{\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"ip\":" + ip + "}}";
    }
}
