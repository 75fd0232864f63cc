package org.berylwick.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.transport.MemberMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Another program writes a record of a member in which a field is null, of another type or out of range. The record was
 * taken over, and whatever used it next ended with a NullPointerException: the merge of the records after it, the
 * messages to peers, or the choice of a member for a request.
 */
class OddMemberRecordTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Member MEMBER = new Member(
            "tiles-1",
            "tiles",
            new HostPort("10.0.0.1", 8_080),
            new Place("here", "a"),
            new Labels(Map.of("tier", "one")),
            Member.State.UP,
            7,
            12,
            3,
            1_700_000_000_000L);

    static Stream<String> oddRecords() throws IOException {
        String text = new String(ConfigurationCodec.encode(MEMBER), StandardCharsets.UTF_8);
        List<String> values = List.of(
                "null",
                "true",
                "\"\"",
                "\"10.0.0.1:99999\"",
                "\"10.0.0.1:-1\"",
                "\"10.0.0.1:x\"",
                "[]",
                "{}",
                "{\"a\":null}",
                "-1",
                "1e400",
                "9".repeat(40),
                "9".repeat(100_000),
                "[".repeat(100_000) + "]".repeat(100_000));
        List<String> records = new ArrayList<>(values);
        records.add("");
        for (Map.Entry<String, JsonNode> field : MAPPER.readTree(text).properties()) {
            for (String value : values) {
                ObjectNode changed = (ObjectNode) MAPPER.readTree(text);
                changed.set(field.getKey(), TextNode.valueOf("MARK"));
                records.add(changed.toString().replace("\"MARK\"", value));
            }
        }
        return records.stream();
    }

    @ParameterizedTest
    @MethodSource("oddRecords")
    void recordIsRefusedOrUsable(String text) {
        Result<Member, String> decoded = ConfigurationCodec.decode(text.getBytes(StandardCharsets.UTF_8), Member.class);
        if (!(decoded instanceof Result.Ok<Member, String>(Member member))) {
            return;
        }
        MembershipTable table = new MembershipTable();
        table.mergeAll(List.of(MEMBER, member, MEMBER.withVersion(4, 5)));
        assertEquals(Result.ok(member), MemberMessages.toMember(MemberMessages.toMessage(member)), "after a message");
        ZoneDirectory.of(table.view(), MEMBER.place());
        member.labels().values().forEach((key, value) -> value.length());
    }

    @Test
    void valuesOutOfRangeAreRefused() {
        for (int slots : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE}) {
            assertInstanceOf(
                    Result.Err.class,
                    MemberMessages.toMember(MemberMessages.toMessage(MEMBER).toBuilder()
                            .setSlots(slots)
                            .build()),
                    "slots " + slots);
        }
    }
}
