package org.berylwick.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.ServiceSpec;

/**
 * The routes of each host in matching order: longest path first, then routes restricted to certain methods before
 * routes for all methods, then by name.
 */
public final class RoutingTable {
    private static final Comparator<RouteMatch> MOST_SPECIFIC_FIRST = Comparator.<RouteMatch>comparingInt(
                    m -> -m.route().path().length())
            .thenComparing(m -> m.route().methods().isEmpty())
            .thenComparing(m -> m.route().name());

    private final Map<String, List<RouteMatch>> matchesByHost;

    private RoutingTable(Map<String, List<RouteMatch>> matchesByHost) {
        this.matchesByHost = matchesByHost;
    }

    /** Compiles a validated configuration; a route without a service or policy is left out. */
    public static RoutingTable compile(Configuration configuration) {
        Map<String, List<RouteMatch>> matchesByHost = new HashMap<>();
        for (Brand brand : configuration.brands().values()) {
            List<RouteMatch> matches = matchesOf(configuration, brand);
            for (String host : brand.hosts()) {
                matchesByHost.put(host.toLowerCase(Locale.ROOT), matches);
            }
        }
        return new RoutingTable(Map.copyOf(matchesByHost));
    }

    private static List<RouteMatch> matchesOf(Configuration configuration, Brand brand) {
        List<RouteMatch> matches = new ArrayList<>();
        for (Route route : configuration.routes().values()) {
            if (!route.brands().matches(brand.labels())) {
                continue;
            }
            ServiceSpec service = configuration.services().get(route.service());
            Optional<Policy> policy = policyOf(configuration, brand, route);
            if (service != null && policy.isPresent()) {
                matches.add(new RouteMatch(brand, route, policy.get(), service));
            }
        }
        matches.sort(MOST_SPECIFIC_FIRST);
        return List.copyOf(matches);
    }

    /** Returns the policy with the highest priority among those that select this route and this brand. */
    public static Optional<Policy> policyOf(Configuration configuration, Brand brand, Route route) {
        return configuration.policies().values().stream()
                .filter(p -> p.routes().matches(route.labels()) && p.brands().matches(brand.labels()))
                .max(Comparator.comparingInt(Policy::priority));
    }

    /**
     * Finds the route that matches a request, with its brand, policy and service.
     *
     * @param host the authority without port, in any letter case
     * @param method the request method
     * @param path the path without query
     */
    public Optional<RouteMatch> find(String host, String method, String path) {
        List<RouteMatch> matches = matchesByHost.get(host);
        if (matches == null) {
            matches = matchesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        }
        for (RouteMatch m : matches) {
            if (isPathUnder(m.route().path(), path) && acceptsMethod(m.route(), method)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a brand has this host. */
    public boolean hasHost(String host) {
        return matchesByHost.containsKey(host.toLowerCase(Locale.ROOT));
    }

    /** Returns whether a route accepts the request method; a route without methods accepts all. */
    public static boolean acceptsMethod(Route route, String method) {
        return route.methods().isEmpty() || route.methods().contains(method);
    }

    /** Returns whether {@code path} equals {@code prefix} or is below it, compared by whole path segments. */
    public static boolean isPathUnder(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
    }
}
