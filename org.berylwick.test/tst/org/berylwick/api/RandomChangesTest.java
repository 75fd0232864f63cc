package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;

/** Random changes of few names and labels, so that references, hosts, paths and priorities often meet. */
class RandomChangesTest {
    private static final int CHANGES = 30;
    private static int accepted;
    private static int refused;

    @Property(tries = 150, seed = "20261203")
    void whatIsAcceptedIsWholeAndWhatIsRefusedChangesNothing(@ForAll long seed) {
        Random random = new Random(seed);
        VersionRepository fresh = new VersionRepository(new MemoryStore(TimeSource.SYSTEM));
        Snapshot before = Snapshot.NONE;
        for (int i = 0; i < CHANGES; i++) {
            ApplyResult result = new ApplyCommand(fresh, TimeSource.SYSTEM)
                    .addDocument("change.toml", document(random))
                    .setDeadline(soon())
                    .call();
            Snapshot after = current(fresh);
            if (result instanceof ApplyResult.Accepted) {
                accepted++;
                assertEquals(before.id().number() + 1, after.id().number());
                checkWhole(after.configuration());
            } else {
                refused++;
                assertEquals(before.id(), after.id(), "after " + result);
            }
            before = after;
        }
    }

    @AfterContainer
    static void bothAnswersWereCommon() {
        assertTrue(accepted > 500 && refused > 500, accepted + " accepted, " + refused + " refused");
    }

    private static Deadline soon() {
        return Deadline.afterMillis(TimeSource.SYSTEM, 10_000);
    }

    private static Snapshot current(VersionRepository repository) {
        return assertInstanceOf(
                        ReadVersionResult.Found.class,
                        new ReadVersionCommand(repository).setDeadline(soon()).call())
                .snapshot();
    }

    private static String document(Random random) {
        StringBuilder text = new StringBuilder();
        Set<String> names = new HashSet<>();
        int objects = 1 + random.nextInt(6);
        for (int i = 0; i < objects; i++) {
            int n = random.nextInt(3);
            int kind = random.nextInt(9);
            String table = List.of(
                            "brand", "brand", "brand", "service", "service", "route", "route", "policy", "remove")
                    .get(kind);
            String removed = List.of("brand", "service", "route", "policy").get(random.nextInt(4));
            String named = table.equals("remove") ? removed : table;
            if (names.add(named + n)) {
                text.append(object(random, table, removed, n));
            }
        }
        return text.toString();
    }

    private static String object(Random random, String table, String removed, int n) {
        String selector = random.nextInt(3) == 0 ? "tier = t" + random.nextInt(2) : "";
        return switch (table) {
            case "brand" -> """
                    [[brand]]
                    name = "n%d"
                    hosts = ["h%d.example"]
                    labels = { tier = "t%d" }
                    """.formatted(n, random.nextInt(5) == 0 ? random.nextInt(3) : n, random.nextInt(2));
            case "service" -> """
                    [[service]]
                    name = "n%d"
                    slots = %d
                    """.formatted(n, 1 + random.nextInt(3));
            case "route" ->
                """
                    [[route]]
                    name = "n%d"
                    path = "/p%d"
                    methods = [%s]
                    service = "n%d"
                    brands = "%s"
                    labels = { kind = "k%d" }
                    """.formatted(
                                n,
                                random.nextInt(2),
                                List.of("", "\"GET\"", "\"GET\", \"POST\"").get(random.nextInt(3)),
                                random.nextInt(3),
                                selector,
                                random.nextInt(2));
            case "policy" ->
                """
                    [[policy]]
                    name = "n%d"
                    priority = %d
                    routes = "%s"
                    brands = "%s"
                    """.formatted(
                        n, random.nextInt(3), random.nextInt(3) == 0 ? "kind = k" + random.nextInt(2) : "", selector);
            default -> """
                    [[remove]]
                    kind = "%s"
                    name = "n%d"
                    """.formatted(removed, n);
        };
    }

    private static void checkWhole(Configuration c) {
        for (Route route : c.routes().values()) {
            assertTrue(c.services().containsKey(route.service()), route + " points at nothing");
        }
        Set<String> hosts = new HashSet<>();
        for (Brand brand : c.brands().values()) {
            brand.hosts().forEach(h -> assertTrue(hosts.add(h.toLowerCase(Locale.ROOT)), h + " is two brands'"));
            List<Route> routes = c.routes().values().stream()
                    .filter(r -> r.brands().matches(brand.labels()))
                    .toList();
            routes.forEach(r -> assertEquals(1, strongest(c, brand, r), "policies of " + r + " for " + brand));
            for (Route a : routes) {
                routes.stream().filter(b -> b != a).forEach(b -> assertTrue(!same(a, b), a + " clashes with " + b));
            }
        }
    }

    private static long strongest(Configuration c, Brand brand, Route route) {
        List<Integer> priorities = c.policies().values().stream()
                .filter(p -> p.routes().matches(route.labels()) && p.brands().matches(brand.labels()))
                .map(Policy::priority)
                .toList();
        int highest = priorities.stream().mapToInt(p -> p).max().orElse(0);
        return priorities.stream().filter(p -> p == highest).count();
    }

    private static boolean same(Route a, Route b) {
        boolean methods = a.methods().isEmpty()
                ? b.methods().isEmpty()
                : a.methods().stream().anyMatch(b.methods()::contains);
        return a.path().equals(b.path()) && methods;
    }
}
