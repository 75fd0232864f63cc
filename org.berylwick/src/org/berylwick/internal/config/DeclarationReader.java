package org.berylwick.internal.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.berylwick.errors.Fault;
import org.berylwick.internal.toml.TableReader;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Selector;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TrafficClass;

/**
 * Reads operators' TOML documents into a change set.
 *
 * <p>A document holds any number of {@code [[brand]]}, {@code [[route]]}, {@code [[policy]]}, {@code [[service]]} and
 * {@code [[remove]]} tables. Each object may stand once in all documents of one change.
 */
public final class DeclarationReader {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern METHOD = Pattern.compile("[A-Z]+");
    private static final int MAX_SLOTS = 10_000;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final int MAX_ATTEMPTS = 5;

    private final List<Fault> faults = new ArrayList<>();
    private final SortedMap<String, Brand> brands = new TreeMap<>();
    private final SortedMap<String, Route> routes = new TreeMap<>();
    private final SortedMap<String, Policy> policies = new TreeMap<>();
    private final SortedMap<String, ServiceSpec> services = new TreeMap<>();
    private final List<ObjectRef> removals = new ArrayList<>();
    private final Map<ObjectRef, DeclaredAt> places = new HashMap<>();

    /**
     * One text of declarations.
     *
     * @param name the file, or what stands for it
     * @param text TOML
     */
    public record Document(String name, String text) {}

    /**
     * Where an object was declared.
     *
     * @param document the document's name
     * @param line 1-based
     */
    public record DeclaredAt(String document, int line) {}

    /**
     * What documents declare.
     *
     * @param changes the objects to add, replace and remove; only good for finding further faults if there are any
     * @param places where each object stands, for faults found later
     * @param faults all that is wrong with the documents themselves
     * @param readable whether every document is TOML, so that no object is missing from the changes
     */
    public record Declarations(
            ChangeSet changes, Map<ObjectRef, DeclaredAt> places, List<Fault> faults, boolean readable) {}

    private DeclarationReader() {}

    /** Reads all documents and finds every fault in them. */
    public static Declarations read(List<Document> documents) {
        DeclarationReader reader = new DeclarationReader();
        boolean readable = true;
        for (Document d : documents) {
            readable &= reader.readDocument(d);
        }
        Configuration upserts = new Configuration(reader.brands, reader.routes, reader.policies, reader.services);
        return new Declarations(
                new ChangeSet(upserts, reader.removals),
                Map.copyOf(reader.places),
                List.copyOf(reader.faults),
                readable);
    }

    private boolean readDocument(Document document) {
        int before = faults.size();
        TableReader top = TableReader.parse(document.name(), document.text(), faults);
        if (faults.size() > before) {
            return false;
        }
        top.children("brand").forEach(t -> readBrand(document, t));
        top.children("route").forEach(t -> readRoute(document, t));
        top.children("policy").forEach(t -> readPolicy(document, t));
        top.children("service").forEach(t -> readService(document, t));
        top.children("remove").forEach(t -> readRemoval(document, t));
        top.finish();
        return true;
    }

    private void readBrand(Document document, TableReader t) {
        String name = name(document, t, ObjectRef.Kind.BRAND);
        List<String> hosts = t.strings("hosts");
        if (hosts.isEmpty()) {
            t.fault("hosts", "must name at least one host");
        }
        for (String host : hosts) {
            FieldRules.hostFault(host).ifPresent(rule -> t.fault("hosts", rule));
        }
        Map<String, String> headers = t.stringMap("headers");
        headers.forEach((k, v) -> FieldRules.headerFault(k, v).ifPresent(rule -> t.fault("headers", rule)));
        FieldRules.repeatedHeaderFault(headers.keySet()).ifPresent(rule -> t.fault("headers", rule));
        brands.put(name, new Brand(name, hosts, labels(t), headers));
        t.finish();
    }

    private static Labels labels(TableReader t) {
        Map<String, String> labels = t.stringMap("labels");
        labels.forEach((k, v) -> FieldRules.labelFault(k, v).ifPresent(rule -> t.fault("labels", rule)));
        return new Labels(labels);
    }

    private void readRoute(Document document, TableReader t) {
        String name = name(document, t, ObjectRef.Kind.ROUTE);
        String path = t.requiredString("path");
        if (!path.isBlank()) {
            FieldRules.pathFault(path).ifPresent(rule -> t.fault("path", rule));
        }
        List<String> methods = t.strings("methods");
        if (!methods.stream().allMatch(m -> METHOD.matcher(m).matches())) {
            t.fault("methods", "must be request methods in capitals");
        }
        if (methods.stream().distinct().count() < methods.size()) {
            t.fault("methods", "names a method twice");
        }
        routes.put(
                name,
                new Route(
                        name,
                        labels(t),
                        selector(t, "brands"),
                        path,
                        methods,
                        t.requiredString("service"),
                        selector(t, "servers")));
        t.finish();
    }

    private void readPolicy(Document document, TableReader t) {
        String name = name(document, t, ObjectRef.Kind.POLICY);
        policies.put(
                name,
                new Policy(
                        name,
                        t.integer("priority", 0, 1_000, 0),
                        selector(t, "routes"),
                        selector(t, "brands"),
                        t.choice("class", TrafficClass.class, TrafficClass.READ),
                        t.durationMillis("timeout", 1, MAX_TIMEOUT_MILLIS, 10_000),
                        t.integer("max_attempts", 1, MAX_ATTEMPTS, 3),
                        t.bool("idempotent", false),
                        t.choice("idempotency_key", Policy.KeyRule.class, Policy.KeyRule.IGNORED)));
        t.finish();
    }

    private void readService(Document document, TableReader t) {
        String name = name(document, t, ObjectRef.Kind.SERVICE);
        int slots = t.integer("slots", 1, MAX_SLOTS, 12);
        int connections = t.integer("connections", 1, MAX_SLOTS, 110);
        if (connections < slots) {
            t.fault("connections", "must be at least slots (" + slots + ")");
        }
        int queueLimit = t.integer("queue_limit", 0, MAX_SLOTS, 4 * slots);
        services.put(name, new ServiceSpec(name, labels(t), slots, connections, queueLimit));
        t.finish();
    }

    private void readRemoval(Document document, TableReader t) {
        ObjectRef.Kind kind = t.choice("kind", ObjectRef.Kind.class, null);
        if (kind == null) {
            if (!t.has("kind")) {
                t.fault("kind", "is missing");
            }
            t.requiredString("name");
            t.finish();
            return;
        }
        removals.add(new ObjectRef(kind, name(document, t, kind)));
        t.finish();
    }

    private static Selector selector(TableReader t, String key) {
        return t.parsed(key, Selector::parse).orElse(Selector.ALL);
    }

    private String name(Document document, TableReader t, ObjectRef.Kind kind) {
        String name = t.requiredString("name");
        if (name.isBlank()) {
            return name;
        }
        if (!NAME.matcher(name).matches()) {
            t.fault("name", "must be 1 to 63 lower-case letters, digits and inner hyphens");
        }
        ObjectRef ref = new ObjectRef(kind, name);
        DeclaredAt earlier = places.putIfAbsent(ref, new DeclaredAt(document.name(), t.lineOf("name")));
        if (earlier != null) {
            t.fault("name", ref + " stands already at " + earlier.document() + ":" + earlier.line());
        }
        return name;
    }
}
