package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.member.HeartbeatProtocol.DecodeResult;
import org.berylwick.node.version.ConfigurationSource.ReadResult;

/** Replaces one or two fields of valid heartbeats and configurations by arbitrary values, at any depth. */
class OddFieldsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long DAY_NANOS = TimeUnit.DAYS.toNanos(1);
    private static final String MARK = "MARK";
    private static final List<String> VALUES = List.of(
            "null",
            "true",
            "0",
            "-1",
            "-0.0",
            "1e308",
            "-1e308",
            "1e-320",
            "1e999",
            "4294967297",
            "2147483648",
            "9223372036854775807",
            "-9223372036854775808",
            "9223372036854775808",
            "99999999999999999999999",
            "\"\"",
            "\" \"",
            "\"a\"",
            "\"10.0.0.1:65536\"",
            "\"10.0.0.1:0\"",
            "\"10.0.0.1:-5\"",
            "\"10.0.0.1:5 \"",
            "\"host.example:5\"",
            "\"[::1]:5\"",
            "\"zzzzzzzz\"",
            "\"ffffffffffffffffff\"",
            "\"\\u0000\"",
            "\"\\ud800\"",
            "[]",
            "[null]",
            "[[]]",
            "{}",
            "{\"a\":{}}",
            "[{\"name\":null}]",
            "[1,\"a\",{}]",
            "[".repeat(60) + "]".repeat(60));
    private static final String HEARTBEAT = "{\"address\":\"10.0.0.1:5\",\"born\":5,\"info\":{\"service\":\"s\","
            + "\"version\":\"v1\",\"zone\":\"a\",\"slots\":12},\"status\":{\"state\":\"ready\",\"seq\":4,"
            + "\"warmupLeftS\":1.5}}";
    private static final String CONFIGURATION = "{\"version\":\"0000000a\",\"services\":[{\"name\":\"s\","
            + "\"maxConnections\":9,\"healthPath\":\"/h\"},{\"name\":\"t\",\"maxConnections\":9}],"
            + "\"limits\":{\"maxHeaderBytes\":9000,\"maxBodyBytes\":90000,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":[{\"name\":\"one\",\"priority\":1,\"ratePerS\":5,\"burst\":9,\"apiKeys\":[\"k\"]}],"
            + "\"virtualHosts\":[{\"hostname\":\"h.example\",\"paths\":[{\"name\":\"r\",\"pathPrefix\":\"/a/\","
            + "\"kind\":\"safe\",\"timeoutS\":3,\"targetLatencyS\":0.5,\"maxAttempts\":2,\"priority\":1,"
            + "\"trafficSplit\":[{\"service\":\"s\",\"weight\":9},{\"service\":\"t\",\"weight\":1}]}]}]}";

    /** Replaces one to two nodes of a document. */
    private static byte[] mutate(String document, Random random) throws IOException {
        String text = document;
        for (int i = random.nextInt(2); i >= 0; i--) {
            JsonNode root = MAPPER.reader().readTree(text);
            List<Runnable> replacements = new ArrayList<>();
            collect(root, replacements);
            if (replacements.isEmpty()) {
                break;
            }
            replacements.get(random.nextInt(replacements.size())).run();
            String value = VALUES.get(random.nextInt(VALUES.size()));
            String replaced = root.toString().replace("\"" + MARK + "\"", value);
            if (i > 0 && !isReadable(replaced)) {
                return replaced.getBytes(StandardCharsets.UTF_8);
            }
            text = replaced;
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static boolean isReadable(String text) {
        return JsonValue.parse(text.getBytes(StandardCharsets.UTF_8)).isPresent();
    }

    private static void collect(JsonNode node, List<Runnable> replacements) {
        if (node instanceof ObjectNode object) {
            object.properties().forEach(field -> {
                replacements.add(() -> object.set(field.getKey(), TextNode.valueOf(MARK)));
                collect(field.getValue(), replacements);
            });
        } else if (node instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                int index = i;
                replacements.add(() -> array.set(index, TextNode.valueOf(MARK)));
                collect(array.get(i), replacements);
            }
        }
    }

    @Property(tries = 5_000, seed = "68")
    void heartbeatIsRefusedOrUsable(@ForAll long seed) throws IOException {
        byte[] body = mutate(HEARTBEAT, new Random(seed));
        if (new HeartbeatCodec().decode("PUT", "/instances/i-1", body) instanceof DecodeResult.Report decoded) {
            BackendReport report = decoded.report();
            assertTrue(report.slots() > 0 && report.slots() <= 100_000);
            assertTrue(report.sequence() >= 0);
            assertTrue(report.warmUpNanos() >= 0 && report.warmUpNanos() <= DAY_NANOS);
            assertTrue(!report.address().isUnresolved());
            assertTrue(!report.service().isBlank());
        }
    }

    /** Guards against numbers that wrap around, such as a limit of no bytes or a deadline in the past. */
    @Property(tries = 5_000, seed = "68")
    void configurationIsInvalidOrItsNumbersAreInRange(@ForAll long seed) throws IOException {
        byte[] body = mutate(CONFIGURATION, new Random(seed));
        if (!(new ConfigurationCodec().decode(body, 1) instanceof ReadResult.Found found)) {
            return;
        }
        ConfigurationVersion version = found.version();
        String text = new String(body, StandardCharsets.UTF_8);
        CallerLimits limits = version.limits();
        assertTrue(limits.maxHeaderBytes() >= 0 && limits.maxBodyBytes() >= 0, text);
        assertTrue(limits.headerTimeoutNanos() >= 0 && limits.headerTimeoutNanos() <= DAY_NANOS, text);
        assertTrue(limits.idleTimeoutNanos() >= 0 && limits.idleTimeoutNanos() <= DAY_NANOS, text);
        assertTrue(version.maxConnections("s") >= 0 && version.maxConnections("s") != 1, text);
        version.route("h.example", "/a/x").ifPresent(route -> assertInRange(route, text));
    }

    private static void assertInRange(Route route, String text) {
        assertTrue(route.timeoutNanos() >= 0 && route.timeoutNanos() <= DAY_NANOS, text);
        assertTrue(route.objectiveNanos() >= 0 && route.objectiveNanos() <= DAY_NANOS, text);
        assertTrue(route.maxAttempts() >= 0, text);
        assertTrue(!route.serviceAt(0.5).isBlank(), text);
    }
}
