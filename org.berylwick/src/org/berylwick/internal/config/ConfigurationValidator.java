package org.berylwick.internal.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.DeclarationReader.DeclaredAt;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Selector;

/**
 * Checks a whole configuration: every reference leads somewhere, every selector matches something, and no request could
 * meet two routes or two policies.
 *
 * <p>Run on the merged result, not on the change alone, since a removal can leave what stays pointing at nothing.
 */
public final class ConfigurationValidator {
    private final Configuration configuration;
    private final Map<ObjectRef, DeclaredAt> places;
    private final List<Fault> faults = new ArrayList<>();

    private ConfigurationValidator(Configuration configuration, Map<ObjectRef, DeclaredAt> places) {
        this.configuration = configuration;
        this.places = places;
    }

    /**
     * Finds every fault.
     *
     * @param places where objects were declared; an object that the change does not name is reported under its own name
     */
    public static List<Fault> validate(Configuration configuration, Map<ObjectRef, DeclaredAt> places) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration, places);
        validator.checkHosts();
        validator.checkServices();
        validator.checkRouteSelectors();
        validator.checkPolicies();
        validator.checkEachBrand();
        return List.copyOf(validator.faults);
    }

    /** Finds the faults that depend on names alone: hosts of two brands, and routes to services not declared. */
    public static List<Fault> validateNames(Configuration configuration, Map<ObjectRef, DeclaredAt> places) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration, places);
        validator.checkHosts();
        validator.checkServices();
        return List.copyOf(validator.faults);
    }

    private void fault(ObjectRef.Kind kind, String name, String field, String rule) {
        ObjectRef ref = new ObjectRef(kind, name);
        DeclaredAt at = places.getOrDefault(ref, new DeclaredAt(ref + " (in force)", 0));
        faults.add(new Fault(at.document(), at.line(), kind.word() + "[" + name + "]." + field, rule));
    }

    private void checkHosts() {
        Map<String, String> owners = new HashMap<>();
        for (Brand brand : configuration.brands().values()) {
            for (String host : brand.hosts()) {
                String owner = owners.putIfAbsent(host.toLowerCase(Locale.ROOT), brand.name());
                if (owner != null) {
                    String blamed = declaredHere(ObjectRef.Kind.BRAND, brand.name(), owner);
                    String other = blamed.equals(owner) ? brand.name() : owner;
                    fault(ObjectRef.Kind.BRAND, blamed, "hosts", "host " + host + " is brand " + other + "'s");
                }
            }
        }
    }

    /** The one of two objects to blame for a clash: the one that the change declares, or else the first. */
    private String declaredHere(ObjectRef.Kind kind, String first, String second) {
        boolean secondAlone =
                !places.containsKey(new ObjectRef(kind, first)) && places.containsKey(new ObjectRef(kind, second));
        return secondAlone ? second : first;
    }

    private void checkServices() {
        for (Route route : configuration.routes().values()) {
            if (!route.service().isBlank() && !configuration.services().containsKey(route.service())) {
                String rule = "no service '" + route.service() + "' is declared; declared: "
                        + String.join(", ", configuration.services().keySet());
                fault(ObjectRef.Kind.ROUTE, route.name(), "service", rule);
            }
        }
    }

    private void checkRouteSelectors() {
        for (Route route : configuration.routes().values()) {
            if (!matchesBrand(route.brands())) {
                fault(ObjectRef.Kind.ROUTE, route.name(), "brands", "selects no brand: " + route.brands());
            }
        }
    }

    private void checkPolicies() {
        for (Policy policy : configuration.policies().values()) {
            if (!matchesBrand(policy.brands())) {
                fault(ObjectRef.Kind.POLICY, policy.name(), "brands", "selects no brand: " + policy.brands());
            }
            boolean matchesRoute = configuration.routes().values().stream()
                    .anyMatch(r -> policy.routes().matches(r.labels()));
            if (!matchesRoute) {
                fault(ObjectRef.Kind.POLICY, policy.name(), "routes", "selects no route: " + policy.routes());
            }
        }
    }

    private boolean matchesBrand(Selector selector) {
        return configuration.brands().values().stream().anyMatch(b -> selector.matches(b.labels()));
    }

    private void checkEachBrand() {
        Set<String> reported = new HashSet<>();
        Map<String, List<Policy>> policiesOf = policiesByRoute();
        for (Brand brand : configuration.brands().values()) {
            List<Route> routes = configuration.routes().values().stream()
                    .filter(r -> r.brands().matches(brand.labels()))
                    .toList();
            checkRouteClashes(brand, routes, reported);
            routes.forEach(r -> checkPolicyOf(brand, r, policiesOf.get(r.name())));
        }
    }

    private Map<String, List<Policy>> policiesByRoute() {
        Map<String, List<Policy>> byRoute = new HashMap<>();
        for (Route route : configuration.routes().values()) {
            byRoute.put(
                    route.name(),
                    configuration.policies().values().stream()
                            .filter(p -> p.routes().matches(route.labels()))
                            .toList());
        }
        return byRoute;
    }

    private void checkRouteClashes(Brand brand, List<Route> routes, Set<String> reported) {
        Map<String, List<Route>> byPath = routes.stream().collect(Collectors.groupingBy(Route::path));
        for (List<Route> same : byPath.values()) {
            for (int i = 0; i < same.size(); i++) {
                for (int j = i + 1; j < same.size(); j++) {
                    checkClash(brand, same.get(i), same.get(j), reported);
                }
            }
        }
    }

    private void checkClash(Brand brand, Route a, Route b, Set<String> reported) {
        if (!haveCommonMethod(a, b) || !reported.add(a.name() + " " + b.name())) {
            return;
        }
        String blamed = declaredHere(ObjectRef.Kind.ROUTE, b.name(), a.name());
        String other = blamed.equals(a.name()) ? b.name() : a.name();
        String rule = "clashes with route '" + other + "': same path and methods for brand '" + brand.name() + "'";
        fault(ObjectRef.Kind.ROUTE, blamed, "path", rule);
    }

    private static boolean haveCommonMethod(Route a, Route b) {
        if (a.methods().isEmpty() || b.methods().isEmpty()) {
            return a.methods().isEmpty() && b.methods().isEmpty();
        }
        return a.methods().stream().anyMatch(b.methods()::contains);
    }

    private void checkPolicyOf(Brand brand, Route route, List<Policy> ofRoute) {
        List<Policy> matching =
                ofRoute.stream().filter(p -> p.brands().matches(brand.labels())).toList();
        if (matching.isEmpty()) {
            String rule = "no policy selects it for brand '" + brand.name() + "'";
            fault(ObjectRef.Kind.ROUTE, route.name(), "labels", rule);
            return;
        }
        int highest = matching.stream().mapToInt(Policy::priority).max().orElseThrow();
        List<String> top = matching.stream()
                .filter(p -> p.priority() == highest)
                .map(Policy::name)
                .toList();
        if (top.size() > 1) {
            String rule = "policies " + String.join(" and ", top) + " have the same priority for route '" + route.name()
                    + "' of brand '" + brand.name() + "'";
            String blamed = declaredHere(ObjectRef.Kind.POLICY, top.getLast(), top.getFirst());
            fault(ObjectRef.Kind.POLICY, blamed, "priority", rule);
        }
    }
}
