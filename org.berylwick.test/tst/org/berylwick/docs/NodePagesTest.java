package org.berylwick.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.junit.jupiter.api.Test;

/** The node's pages of events and metrics and its code say the same. */
class NodePagesTest {
    private static final Pattern EVENT =
            Pattern.compile("\\| (\\d{4}) \\| ([A-Z_]+) \\| [^|]+ \\| [^|]+ \\| (all|\\d+) \\| [^|]+ \\|");
    private static final Pattern METRIC =
            Pattern.compile("\\| `([a-z0-9._*]+)` \\| (?:counter|gauge) \\| [^|]+ \\| [^|]+ \\|");

    @Test
    void eventsAreOnThePage() throws IOException {
        Set<String> inCode = new TreeSet<>();
        for (Event event : Event.values()) {
            String limit = event.maxLinesPerSecond() == Integer.MAX_VALUE ? "all" : "" + event.maxLinesPerSecond();
            inCode.add(event.number() + " " + event.name() + " " + limit);
        }
        Set<String> onPage = new TreeSet<>();
        for (String line : Files.readAllLines(Path.of("..", "docs", "NODE-EVENTS.md"))) {
            Matcher m = EVENT.matcher(line);
            if (m.matches()) {
                onPage.add(m.group(1) + " " + m.group(2) + " " + m.group(3));
            }
        }
        assertEquals(String.join("\n", inCode), String.join("\n", onPage));
    }

    @Test
    void metricsAreOnThePage() throws IOException, IllegalAccessException {
        Set<String> inCode = new TreeSet<>();
        for (Field field : NodeMetricNames.class.getFields()) {
            String name = (String) field.get(null);
            inCode.add(name.endsWith(".") ? name + "*" : name);
        }
        Set<String> onPage = new TreeSet<>();
        for (String line : Files.readAllLines(Path.of("..", "docs", "NODE-METRICS.md"))) {
            Matcher m = METRIC.matcher(line);
            if (m.matches()) {
                onPage.add(m.group(1));
            }
        }
        assertEquals(String.join("\n", inCode), String.join("\n", onPage));
    }
}
