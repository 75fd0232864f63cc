package org.berylwick.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Chooses objects by their labels; every requirement must hold, and no requirement at all chooses everything.
 *
 * <p>The text form joins requirements by commas: {@code tier = gold, city != pasig, kind in (read, lookup), kind notin
 * (bulk), artwork, !legacy}. As usual for label selectors, {@code !=} and {@code notin} also choose objects that lack
 * the key.
 */
public record Selector(List<Requirement> requirements) {
    /** Chooses everything. */
    public static final Selector ALL = new Selector(List.of());

    private static final String KEY = "[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?";
    private static final String VALUE = "[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?";
    private static final Pattern EQUALS =
            Pattern.compile("(?<key>" + KEY + ")\\s*(?<op>==|=|!=)\\s*(?<value>" + VALUE + ")");
    private static final Pattern MEMBER =
            Pattern.compile("(?<key>" + KEY + ")\\s+(?<op>in|notin)\\s*\\((?<values>[^()]*)\\)");
    private static final Pattern PRESENCE = Pattern.compile("(?<not>!?)\\s*(?<key>" + KEY + ")");
    private static final Pattern COMMA_OUTSIDE_PARENTHESES = Pattern.compile(",(?![^()]*\\))");

    /** Copies the list. */
    public Selector {
        requirements = List.copyOf(requirements);
    }

    /** One condition on one label. */
    public sealed interface Requirement {
        /** The label's value is one of {@code values}. */
        record In(String key, Set<String> values) implements Requirement {}

        /** The label is absent, or its value is none of {@code values}. */
        record NotIn(String key, Set<String> values) implements Requirement {}

        /** The label is present. */
        record Exists(String key) implements Requirement {}

        /** The label is absent. */
        record Absent(String key) implements Requirement {}

        /** Tells whether {@code labels} meet the condition. */
        default boolean matches(Labels labels) {
            return switch (this) {
                case In(String key, Set<String> values) ->
                    labels.get(key).filter(values::contains).isPresent();
                case NotIn(String key, Set<String> values) ->
                    labels.get(key).filter(values::contains).isEmpty();
                case Exists(String key) -> labels.get(key).isPresent();
                case Absent(String key) -> labels.get(key).isEmpty();
            };
        }
    }

    /** Tells whether every requirement holds. */
    public boolean matches(Labels labels) {
        for (Requirement r : requirements) {
            if (!r.matches(labels)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Reads the text form.
     *
     * @throws IllegalArgumentException naming the requirement that cannot be read
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Selector parse(String text) {
        if (text.isBlank()) {
            return ALL;
        }
        List<Requirement> rs = new ArrayList<>();
        for (String part : COMMA_OUTSIDE_PARENTHESES.split(text, -1)) {
            rs.add(parseRequirement(part.strip()));
        }
        return new Selector(rs);
    }

    private static Requirement parseRequirement(String text) {
        Matcher equals = EQUALS.matcher(text);
        if (equals.matches()) {
            Set<String> value = Set.of(equals.group("value"));
            return equals.group("op").equals("!=")
                    ? new Requirement.NotIn(equals.group("key"), value)
                    : new Requirement.In(equals.group("key"), value);
        }
        Matcher member = MEMBER.matcher(text);
        if (member.matches()) {
            Set<String> values = parseValues(text, member.group("values"));
            return member.group("op").equals("in")
                    ? new Requirement.In(member.group("key"), values)
                    : new Requirement.NotIn(member.group("key"), values);
        }
        Matcher presence = PRESENCE.matcher(text);
        if (presence.matches()) {
            return presence.group("not").isEmpty()
                    ? new Requirement.Exists(presence.group("key"))
                    : new Requirement.Absent(presence.group("key"));
        }
        throw new IllegalArgumentException("cannot read selector requirement '" + text + "'");
    }

    private static Set<String> parseValues(String requirement, String list) {
        Set<String> values = new TreeSet<>();
        for (String value : list.split(",", -1)) {
            if (!value.strip().matches(VALUE)) {
                throw new IllegalArgumentException(
                        "cannot read value '" + value.strip() + "' in '" + requirement + "'");
            }
            values.add(value.strip());
        }
        return values;
    }

    @Override
    @JsonValue
    public String toString() {
        return requirements.stream().map(Selector::format).collect(Collectors.joining(", "));
    }

    private static String format(Requirement requirement) {
        return switch (requirement) {
            case Requirement.In(String key, Set<String> values)
            when values.size() == 1 -> key + " = " + values.iterator().next();
            case Requirement.In(String key, Set<String> values) -> key + " in " + formatValues(values);
            case Requirement.NotIn(String key, Set<String> values)
            when values.size() == 1 -> key + " != " + values.iterator().next();
            case Requirement.NotIn(String key, Set<String> values) -> key + " notin " + formatValues(values);
            case Requirement.Exists(String key) -> key;
            case Requirement.Absent(String key) -> "!" + key;
        };
    }

    private static String formatValues(Set<String> values) {
        return new TreeSet<>(values).stream().collect(Collectors.joining(", ", "(", ")"));
    }
}
