package org.berylwick.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells the story of one request from the logs of several nodes.
 *
 * <p>Clocks differ between VMs. An owner's line of a run and the entry's line of the attempt that it was belong
 * together, and the entry's comes right after; the difference of their times is the difference of the clocks, and the
 * owner's other lines are moved by it. What happened around the request on the nodes that took part is told too, as far
 * as it changes what they believe.
 */
public final class ExplainCommand {
    /** How long before and after the request the nodes' other lines are of interest. */
    private static final long AROUND_MILLIS = 3_000;

    private static final String MEMBER = "MEMBER_CHANGED";
    private static final Set<String> AROUND = Set.of(
            "STARTED",
            "STOPPING",
            "STOPPED",
            "READY_CHANGED",
            "VERSION_INSTALLED",
            "VERSION_REFUSED",
            "STORE_LOST",
            "STORE_REGAINED",
            MEMBER,
            "BACKEND_CHANGED",
            "BACKEND_REPORT_IGNORED",
            "BACKEND_LEAVE_ACKNOWLEDGED",
            "BACKEND_LEAVE_NOT_ACKNOWLEDGED",
            "BACKEND_LEFT_EARLIER");
    private static final Set<String> FINAL = Set.of("CALL_ANSWERED", "CALL_FAILED", "CALL_REFUSED", "CALL_ABANDONED");
    private static final Set<String> HEAD = Set.of("t", "node", "event", "name", "id");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<Line> lines = new ArrayList<>();
    private String id = "";
    private int linesRead;

    /** One line that could be read. */
    private record Line(long millis, String node, String event, JsonNode fields) {
        String text(String field) {
            return fields.path(field).asText("");
        }
    }

    /** The request's id, as the caller sent it. */
    public ExplainCommand setRequestId(String requestId) {
        id = requestId;
        return this;
    }

    /** Adds a line of a log; what stands before its first brace, and lines without one, are passed over. */
    public ExplainCommand addLine(String line) {
        linesRead++;
        int brace = line.indexOf('{');
        if (brace < 0) {
            return this;
        }
        read(line.substring(brace)).ifPresent(lines::add);
        return this;
    }

    private static Optional<Line> read(String json) {
        try {
            JsonNode fields = MAPPER.readTree(json);
            if (!fields.hasNonNull("t") || !fields.hasNonNull("node") || !fields.hasNonNull("name")) {
                return Optional.empty();
            }
            return Optional.of(new Line(
                    fields.path("t").asLong(),
                    fields.path("node").asText(),
                    fields.path("name").asText(),
                    fields));
        } catch (JsonProcessingException e) {
            // A line cut short by a kill, or of another program.
            return Optional.empty();
        }
    }

    /** Runs the command. */
    public ExplainResult call() {
        List<Line> own = lines.stream().filter(l -> l.text("id").equals(id)).toList();
        if (own.isEmpty()) {
            return new ExplainResult.Unknown(linesRead);
        }
        Map<String, Long> ahead = clocksAhead(own);
        Set<String> ips = ipsOf(own);
        Set<String> nodes = nodesOf(own, ips);
        long from = Long.MAX_VALUE;
        long to = Long.MIN_VALUE;
        for (Line line : own) {
            long at = line.millis() - ahead.getOrDefault(line.node(), 0L);
            from = Math.min(from, at - line.fields().path("ms").asLong(0));
            to = Math.max(to, at);
        }
        List<ExplainResult.Step> steps = new ArrayList<>();
        for (Line line : lines) {
            long at = line.millis() - ahead.getOrDefault(line.node(), 0L);
            boolean ownLine = line.text("id").equals(id);
            boolean near = AROUND.contains(line.event())
                    && nodes.contains(line.node())
                    && (!MEMBER.equals(line.event()) || ips.contains(line.text("ip")))
                    && at >= from - AROUND_MILLIS
                    && at <= to + AROUND_MILLIS;
            if (ownLine || near) {
                steps.add(new ExplainResult.Step(at, line.node(), line.event(), ownLine, details(line)));
            }
        }
        steps.sort(Comparator.comparingLong(ExplainResult.Step::millis).thenComparingInt(ExplainCommand::rank));
        return new ExplainResult.Story(steps, linesRead);
    }

    /** Of lines at one time, the owner's end of a run comes first and the answer to the caller last. */
    private static int rank(ExplainResult.Step step) {
        if (FINAL.contains(step.event())) {
            return 2;
        }
        return "RUN_FAILED".equals(step.event()) ? 0 : 1;
    }

    /** By how many milliseconds each owner's clock is ahead of the entry's. */
    private Map<String, Long> clocksAhead(List<Line> own) {
        Map<String, String> nodeByIp = nodeByIp();
        Map<String, Long> ahead = new HashMap<>();
        for (Line attempt : own) {
            if (!"ATTEMPT_FAILED".equals(attempt.event())) {
                continue;
            }
            String owner = nodeByIp.getOrDefault(attempt.text("at"), "");
            own.stream()
                    .filter(l -> "RUN_FAILED".equals(l.event()) && l.node().equals(owner))
                    .findFirst()
                    .ifPresent(l -> ahead.put(owner, l.millis() - attempt.millis()));
        }
        return ahead;
    }

    private Map<String, String> nodeByIp() {
        Map<String, String> nodes = new HashMap<>();
        for (Line line : lines) {
            if ("STARTED".equals(line.event())) {
                nodes.put(line.text("ip"), line.node());
            }
        }
        return nodes;
    }

    /** Addresses of the nodes that the request was sent to. */
    private static Set<String> ipsOf(List<Line> own) {
        Set<String> ips = new HashSet<>();
        for (Line line : own) {
            ips.add(line.text("at"));
            for (String tried : line.text("tried").split(" ")) {
                ips.add(tried.substring(0, Math.max(0, tried.indexOf('='))));
            }
        }
        ips.remove("");
        return ips;
    }

    private Set<String> nodesOf(List<Line> own, Set<String> ips) {
        Map<String, String> nodeByIp = nodeByIp();
        Set<String> nodes = new HashSet<>();
        own.forEach(l -> nodes.add(l.node()));
        for (String ip : ips) {
            if (nodeByIp.containsKey(ip)) {
                nodes.add(nodeByIp.get(ip));
            }
        }
        return nodes;
    }

    private static String details(Line line) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : line.fields().properties()) {
            if (HEAD.contains(field.getKey()) || field.getValue().asText().isEmpty()) {
                continue;
            }
            text.append(text.isEmpty() ? "" : " ")
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue().asText());
        }
        return text.toString();
    }
}
