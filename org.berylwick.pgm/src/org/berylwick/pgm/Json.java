package org.berylwick.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and prints the JSON that a daemon answers with. */
final class Json {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private Json() {}

    static JsonNode read(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the daemon's answer is not JSON", e);
        }
    }

    static String print(Object value) {
        return MAPPER.valueToTree(value).toPrettyString();
    }
}
