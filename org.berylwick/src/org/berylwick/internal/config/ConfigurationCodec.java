package org.berylwick.internal.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.berylwick.lib.Result;

/** Turns the domain's records into canonical JSON, equal records into equal bytes, and back. */
public final class ConfigurationCodec {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    private ConfigurationCodec() {}

    /** Encodes a record. */
    public static byte[] encode(Object record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode " + record.getClass(), e);
        }
    }

    /** Decodes a record; the error says what is wrong with the content. */
    public static <T> Result<T, String> decode(byte[] content, Class<T> type) {
        try {
            T value = MAPPER.readValue(content, type);
            return value == null ? Result.err("is null") : Result.ok(value);
        } catch (IOException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }
}
