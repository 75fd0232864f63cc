package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Compares the parser with Jackson on random documents, and checks that malformed documents are rejected. */
class JsonParserTest {
    private static final ObjectMapper JACKSON = new ObjectMapper();

    private static Optional<JsonValue> parse(String text) {
        return JsonValue.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode randomNode(Random random, int depth) {
        return switch (random.nextInt(depth > 4 ? 5 : 7)) {
            case 0 -> JACKSON.getNodeFactory().numberNode(random.nextLong());
            case 1 ->
                JACKSON.getNodeFactory().numberNode(random.nextGaussian() * Math.pow(10, random.nextInt(30) - 15));
            case 2 -> JACKSON.getNodeFactory().booleanNode(random.nextBoolean());
            case 3 -> JACKSON.getNodeFactory().nullNode();
            case 4 -> JACKSON.getNodeFactory().textNode(randomText(random));
            case 5 -> {
                ArrayNode array = JACKSON.createArrayNode();
                for (int i = random.nextInt(4); i > 0; i--) {
                    array.add(randomNode(random, depth + 1));
                }
                yield array;
            }
            default -> {
                ObjectNode object = JACKSON.createObjectNode();
                for (int i = random.nextInt(4); i > 0; i--) {
                    object.set(randomText(random), randomNode(random, depth + 1));
                }
                yield object;
            }
        };
    }

    private static String randomText(Random random) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(8); i > 0; i--) {
            text.appendCodePoint(
                    switch (random.nextInt(4)) {
                        case 0 -> random.nextInt(0x20);
                        case 1 -> "\"\\/{}[],:".charAt(random.nextInt(9));
                        case 2 -> 0x80 + random.nextInt(0x700);
                        default -> 0x10000 + random.nextInt(0x1000);
                    });
        }
        return text.toString();
    }

    private static void assertEquivalent(JsonNode expected, JsonValue actual) {
        switch (expected.getNodeType()) {
            case OBJECT -> {
                assertEquals(expected.size(), actual.fields().size());
                expected.properties().forEach(e -> assertEquivalent(e.getValue(), actual.field(e.getKey())));
            }
            case ARRAY -> {
                List<JsonValue> items = actual.items();
                assertEquals(expected.size(), items.size());
                for (int i = 0; i < items.size(); i++) {
                    assertEquivalent(expected.get(i), items.get(i));
                }
            }
            case STRING -> assertEquals(Optional.of(expected.asText()), actual.text());
            case NUMBER -> assertEquals(expected.asDouble(), actual.doubleOr(Double.NaN));
            case BOOLEAN -> assertEquals(expected.asBoolean(), actual.isTrue());
            default -> assertTrue(!actual.isPresent());
        }
    }

    @Property(tries = 2_000)
    void parsesWhatJacksonWrites(@ForAll long seed, @ForAll boolean prettyPrinted) throws IOException {
        JsonNode expected = randomNode(new Random(seed), 0);
        byte[] bytes = prettyPrinted
                ? JACKSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(expected)
                : JACKSON.writeValueAsBytes(expected);
        assertEquivalent(expected, JsonValue.parse(bytes).orElseThrow());
    }

    /**
     * A truncated or altered document that the parser accepts must have the same value in Jackson. The converse is not
     * checked, as Jackson accepts numbers of a wider range.
     */
    @Property(tries = 3_000)
    void acceptsOnlyWhatJacksonParsesToTheSameValue(@ForAll long seed, @ForAll @IntRange(max = 255) int replacement)
            throws IOException {
        Random random = new Random(seed);
        byte[] bytes = JACKSON.writeValueAsBytes(randomNode(random, 0));
        if (random.nextBoolean()) {
            bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
        } else {
            bytes[random.nextInt(bytes.length)] = (byte) replacement;
        }
        Optional<JsonValue> actual = JsonValue.parse(bytes);
        if (actual.isEmpty()) {
            return;
        }
        assertEquivalent(parseWithJackson(bytes), actual.get());
    }

    private static JsonNode parseWithJackson(byte[] bytes) throws IOException {
        return JACKSON.reader()
                .with(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .readTree(new String(bytes, StandardCharsets.UTF_8));
    }

    private static byte[] bytesOf(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against a value that cannot be represented changing, or hiding, what stands before and after it. */
    @Property(tries = 1_000, seed = "68")
    void sharedDocumentLosesOnlyTheValuesThatCannotBeRepresented(
            @ForAll long seed, @ForAll @IntRange(max = 4) int kind, @ForAll @IntRange(min = 41, max = 2_000) int depth)
            throws IOException {
        Random random = new Random(seed);
        JsonNode before = randomNode(random, 0);
        JsonNode after = randomNode(random, 0);
        String odd = List.of(
                        "[".repeat(depth) + randomNode(random, 0) + "]".repeat(depth),
                        "{\"a\" : ".repeat(depth) + randomNode(random, 0) + " }".repeat(depth),
                        "9".repeat(depth),
                        "1e" + "9".repeat(depth),
                        "\"a\\udc00\"")
                .get(kind);
        String text = "{\"before\":" + before + ",\"odd\":[" + odd + "],\"after\":" + after + "}";
        JsonValue document = JsonValue.parseShared(bytesOf(text), JsonParser.KnownObjects.NONE)
                .orElseThrow();
        assertEquivalent(before, document.field("before"));
        assertEquivalent(after, document.field("after"));
        assertEquals(true, document.field("before").isComplete());
        assertEquals(false, document.field("odd").isComplete());
        assertEquals(false, document.isComplete());
        assertEquals(Optional.empty(), parse(text));
    }

    /** Guards against a syntax error that is overlooked in a part of a document that is not represented. */
    @Property(tries = 3_000, seed = "68")
    void skippedValuesAreWellFormed(@ForAll long seed, @ForAll @IntRange(max = 255) int replacement)
            throws IOException {
        Random random = new Random(seed);
        byte[] bytes = bytesOf("[".repeat(50) + randomNode(random, 0) + ",{\"a\":[1,{}]},[[],2]" + "]".repeat(50));
        bytes[random.nextInt(bytes.length)] = (byte) replacement;
        if (JsonValue.parseShared(bytes, JsonParser.KnownObjects.NONE).isPresent()) {
            parseWithJackson(bytes);
        }
    }

    @Test
    void malformedDocumentsAreRejectedAtAnyDepth() {
        for (String text : List.of(
                "{", "[1,]", "{\"a\":}", "{\"a\" 1}", "{a:1}", "{\"a\":1,}", "[}", "{]", "[1 2]", "01", "tru", "\"a")) {
            byte[] bytes = bytesOf("[".repeat(60) + text + "]".repeat(60));
            assertEquals(Optional.empty(), JsonValue.parseShared(bytes, JsonParser.KnownObjects.NONE), text);
        }
    }

    @Test
    void objectKeepsItsSourceBytes() {
        byte[] document =
                "{\"a\": 1, \"spec\" : {\"x\": [1, {\"y\":\"}\"}] }, \"b\":2}".getBytes(StandardCharsets.UTF_8);
        byte[] spec = JsonValue.parse(document).orElseThrow().field("spec").sourceBytes();
        assertArrayEquals("{\"x\": [1, {\"y\":\"}\"}] }".getBytes(StandardCharsets.UTF_8), spec);
    }

    @Test
    void malformedDocumentsAreRejected() {
        for (String text : List.of(
                "",
                " ",
                "{",
                "[1,]",
                "{\"a\":}",
                "{\"a\" 1}",
                "{a:1}",
                "01",
                "1.",
                "-",
                ".5",
                "1e",
                "tru",
                "nul",
                "\"a",
                "\"\\x\"",
                "\"\\u12\"",
                "\"\n\"",
                "1 2",
                "{}x",
                "[1 2]",
                "'a'",
                "+1",
                "NaN",
                "\"\\",
                "\"\\\"")) {
            assertEquals(Optional.empty(), parse(text), text);
        }
    }

    @Test
    void quotedTextIsParsedBackUnchanged() {
        String original = "a\"b\\c\u0001\u00e9\ud83d\ude00";
        assertEquals(
                original, parse(JsonText.quote(original)).orElseThrow().text().orElseThrow());
    }
}
