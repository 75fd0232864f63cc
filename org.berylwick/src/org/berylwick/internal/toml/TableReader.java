package org.berylwick.internal.toml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.berylwick.errors.Fault;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the fields of one TOML table.
 *
 * <p>A field that is missing or wrong adds a fault and yields a default, so that one pass finds every fault; the values
 * read must not be used if there are faults. {@link #finish()} reports the keys that no one asked for.
 */
public final class TableReader {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB)");

    private final String document;
    private final String prefix;
    private final TomlTable table;
    private final List<Fault> faults;
    private final Map<String, Replacement> replacements;
    private final Set<String> asked = new HashSet<>();

    /**
     * A text that replaces what a document says.
     *
     * @param variable the environment variable that it comes from, for faults
     * @param value the text
     */
    public record Replacement(String variable, String value) {}

    private TableReader(
            String document,
            String prefix,
            TomlTable table,
            List<Fault> faults,
            Map<String, Replacement> replacements) {
        this.document = document;
        this.prefix = prefix;
        this.table = table;
        this.faults = faults;
        this.replacements = replacements;
    }

    /**
     * Parses a document.
     *
     * @param document its name, for faults
     * @param faults where faults are added
     * @return a reader of the top table; of an empty table if the text is not TOML
     */
    public static TableReader parse(String document, String text, List<Fault> faults) {
        return parse(document, text, faults, Map.of());
    }

    /**
     * Parses a document, some of whose texts the environment replaces.
     *
     * @param replacements by the key's path, such as {@code listen.admin}
     */
    public static TableReader parse(
            String document, String text, List<Fault> faults, Map<String, Replacement> replacements) {
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError e : parsed.errors()) {
            faults.add(new Fault(document, e.position().line(), "(syntax)", e.getMessage()));
        }
        TomlTable table = parsed.hasErrors() ? Toml.parse("") : parsed;
        return new TableReader(document, "", table, faults, replacements);
    }

    /** Adds a fault to {@code key} of this table. */
    public void fault(String key, String rule) {
        Replacement replacement = replacements.get(prefix + key);
        if (replacement != null) {
            faults.add(new Fault("environment", 0, replacement.variable(), rule));
            return;
        }
        faults.add(new Fault(document, lineOf(key), prefix + key, rule));
    }

    /** The 1-based line of {@code key}, or of this table's first key if it has no such key; 0 if unknown. */
    public int lineOf(String key) {
        TomlPosition position = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : null;
        if (position == null && !table.isEmpty()) {
            position = table.inputPositionOf(List.of(table.keySet().iterator().next()));
        }
        return position == null ? 0 : position.line();
    }

    /** Tells whether the table has the key. */
    public boolean has(String key) {
        return replacements.containsKey(prefix + key) || table.contains(List.of(key));
    }

    /** A table inside this one; empty if absent. */
    public TableReader child(String key) {
        asked.add(key);
        Object value = table.get(List.of(key));
        if (value instanceof TomlTable child) {
            return new TableReader(document, prefix + key + ".", child, faults, replacements);
        }
        if (value != null) {
            fault(key, "must be a table");
        }
        return new TableReader(document, prefix + key + ".", Toml.parse(""), faults, replacements);
    }

    /** The tables of an array of tables, {@code [[key]]}; none if absent. */
    public List<TableReader> children(String key) {
        asked.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            fault(key, "must be an array of tables, written [[" + key + "]]");
            return List.of();
        }
        List<TableReader> readers = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            TomlTable child = array.getTable(i);
            Object name = child.get(List.of("name"));
            String label = name instanceof String s ? s : "#" + (i + 1);
            readers.add(new TableReader(document, prefix + key + "[" + label + "].", child, faults, replacements));
        }
        return readers;
    }

    /** A text that must be there and not blank. */
    public String requiredString(String key) {
        Optional<String> value = optionalString(key);
        if (value.isEmpty() && !has(key)) {
            fault(key, "is missing");
        }
        if (value.isPresent() && value.get().isBlank()) {
            fault(key, "must not be blank");
        }
        return value.orElse("");
    }

    /** A text, if it is there. */
    public Optional<String> optionalString(String key) {
        return value(key, String.class, "must be a string");
    }

    /**
     * A text that {@code reader} turns into a value, if it is there; the reader rejects by IllegalArgumentException.
     */
    public <T> Optional<T> parsed(String key, Function<String, T> reader) {
        Optional<String> text = optionalString(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(reader.apply(text.get()));
        } catch (IllegalArgumentException e) {
            fault(key, e.getMessage());
            return Optional.empty();
        }
    }

    /** A whole number between two bounds, both included. */
    public int integer(String key, int min, int max, int absent) {
        Optional<Long> value = value(key, Long.class, "must be a whole number");
        if (value.isEmpty()) {
            return absent;
        }
        if (value.get() < min || value.get() > max) {
            fault(key, "must be from " + min + " to " + max + ", is " + value.get());
            return absent;
        }
        return value.get().intValue();
    }

    /** A truth value. */
    public boolean bool(String key, boolean absent) {
        return value(key, Boolean.class, "must be true or false").orElse(absent);
    }

    /** A length of time with its unit, such as {@code "250ms"}, {@code "10s"}, {@code "5m"}; in milliseconds. */
    public long durationMillis(String key, long min, long max, long absent) {
        Optional<Long> value = parsed(key, TableReader::parseDuration);
        if (value.isEmpty()) {
            return absent;
        }
        if (value.get() < min || value.get() > max) {
            fault(key, "must be from " + min + "ms to " + max + "ms, is " + value.get() + "ms");
            return absent;
        }
        return value.get();
    }

    private static long parseDuration(String text) {
        Matcher m = DURATION.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("must be a number with a unit ms, s, m or h, such as \"250ms\"");
        }
        long number = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> number;
            case "s" -> number * 1_000;
            case "m" -> number * 60_000;
            default -> number * 3_600_000;
        };
    }

    /** A size with its unit, such as {@code "64KiB"} or {@code "4MiB"}; in bytes. */
    public int sizeBytes(String key, int min, int max, int absent) {
        Optional<Long> value = parsed(key, TableReader::parseSize);
        if (value.isEmpty()) {
            return absent;
        }
        if (value.get() < min || value.get() > max) {
            fault(key, "must be from " + min + "B to " + max + "B, is " + value.get() + "B");
            return absent;
        }
        return value.get().intValue();
    }

    private static long parseSize(String text) {
        Matcher m = SIZE.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("must be a number with a unit B, KiB or MiB, such as \"4MiB\"");
        }
        long number = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "B" -> number;
            case "KiB" -> number << 10;
            default -> number << 20;
        };
    }

    /** One of an enum's constants, written in lower case with hyphens. */
    public <T extends Enum<T>> T choice(String key, Class<T> type, T absent) {
        Optional<String> text = optionalString(key);
        if (text.isEmpty()) {
            return absent;
        }
        for (T constant : type.getEnumConstants()) {
            if (word(constant).equals(text.get())) {
                return constant;
            }
        }
        List<String> words =
                Arrays.stream(type.getEnumConstants()).map(TableReader::word).toList();
        fault(key, "must be one of " + String.join(", ", words) + ", is '" + text.get() + "'");
        return absent;
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A list of texts; empty if absent. */
    public List<String> strings(String key) {
        Optional<TomlArray> array = value(key, TomlArray.class, "must be a list of strings");
        if (array.isEmpty() || array.get().isEmpty()) {
            return List.of();
        }
        if (!array.get().toList().stream().allMatch(String.class::isInstance)) {
            fault(key, "must be a list of strings");
            return List.of();
        }
        return array.get().toList().stream().map(String.class::cast).toList();
    }

    /** A table of texts; empty if absent. */
    public Map<String, String> stringMap(String key) {
        Map<String, String> map = new TreeMap<>();
        Optional<TomlTable> child = value(key, TomlTable.class, "must be a table of strings");
        if (child.isEmpty()) {
            return map;
        }
        for (String k : child.get().keySet()) {
            if (child.get().get(List.of(k)) instanceof String s) {
                map.put(k, s);
            } else {
                fault(key, "must be a table of strings; '" + k + "' is not a string");
            }
        }
        return map;
    }

    private <T> Optional<T> value(String key, Class<T> type, String rule) {
        asked.add(key);
        Replacement replacement = replacements.get(prefix + key);
        Object value = replacement == null ? table.get(List.of(key)) : replacement.value();
        if (value == null) {
            return Optional.empty();
        }
        if (!type.isInstance(value)) {
            fault(key, rule);
            return Optional.empty();
        }
        return Optional.of(type.cast(value));
    }

    /** Reports each key that nothing asked for. */
    public void finish() {
        for (String key : table.keySet()) {
            if (!asked.contains(key)) {
                fault(
                        key,
                        "is not a known key; known here: "
                                + String.join(", ", asked.stream().sorted().toList()));
            }
        }
    }
}
