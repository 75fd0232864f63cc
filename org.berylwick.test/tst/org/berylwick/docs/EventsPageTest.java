package org.berylwick.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.berylwick.internal.event.Event;
import org.junit.jupiter.api.Test;

/** The catalogue of events and the enums say the same. */
class EventsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");
    private static final Pattern ROW =
            Pattern.compile("\\| (\\d{4}) \\| ([A-Z]+) \\| ([A-Z_]+) \\| (.+?) \\| (.*?) \\| (.*?) \\|");

    private static List<Event> events() {
        List<Event> events = new ArrayList<>();
        for (Class<?> area : Event.class.getPermittedSubclasses()) {
            Arrays.stream(area.getEnumConstants()).map(Event.class::cast).forEach(events::add);
        }
        return events;
    }

    @Test
    void pageAndCodeHaveTheSameEvents() throws IOException {
        Set<String> inCode = new TreeSet<>();
        for (Event e : events()) {
            inCode.add(
                    String.join(" | ", Integer.toString(e.number()), e.level().name(), e.name(), e.text()));
        }
        Set<String> onPage = new TreeSet<>();
        for (String line : Files.readAllLines(PAGE)) {
            Matcher m = ROW.matcher(line);
            if (m.matches()) {
                onPage.add(String.join(" | ", m.group(1), m.group(2), m.group(3), m.group(4)));
                assertFalse(m.group(5).isBlank() || m.group(6).isBlank(), line);
            } else {
                assertFalse(line.matches("\\| *\\d.*"), () -> "cannot read the row " + line);
            }
        }
        assertEquals(String.join("\n", inCode), String.join("\n", onPage));
    }

    @Test
    void numbersAreUniqueAndOfTheirArea() {
        Set<Integer> seen = new TreeSet<>();
        for (Class<?> area : Event.class.getPermittedSubclasses()) {
            Set<Integer> thousands = new TreeSet<>();
            for (Object constant : area.getEnumConstants()) {
                Event e = (Event) constant;
                assertTrue(seen.add(e.number()), () -> "two events are numbered " + e.number());
                thousands.add(e.number() / 1_000);
            }
            assertEquals(1, thousands.size(), area.getSimpleName());
        }
    }
}
