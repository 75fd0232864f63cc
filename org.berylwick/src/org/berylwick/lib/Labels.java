package org.berylwick.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Key and value pairs that selectors look at.
 *
 * @param values sorted by key, unmodifiable
 */
public record Labels(@JsonValue Map<String, String> values) {
    /** No labels. */
    public static final Labels EMPTY = new Labels(Map.of());

    /** Copies {@code values}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Labels {
        if (values.values().stream().anyMatch(Objects::isNull)) {
            throw new IllegalArgumentException("a label has no value");
        }
        values = Collections.unmodifiableMap(new TreeMap<>(values));
    }

    /** The value under {@code key}. */
    public Optional<String> get(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** These labels with one more, which replaces an equal key. */
    public Labels with(String key, String value) {
        Map<String, String> copy = new TreeMap<>(values);
        copy.put(key, value);
        return new Labels(copy);
    }
}
