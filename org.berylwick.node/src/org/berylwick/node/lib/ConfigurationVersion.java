package org.berylwick.node.lib;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One whole accepted version of the configuration, immutable. */
public final class ConfigurationVersion {
    private final long number;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Integer> maxConnections;
    private final Map<String, String> healthPaths;
    private final CallerLimits limits;
    private final byte[] encoded;

    private ConfigurationVersion(Builder builder) {
        this.number = builder.number;
        Map<String, List<Route>> hosts = new HashMap<>();
        for (Map.Entry<String, List<Route>> entry : builder.routesByHost.entrySet()) {
            List<Route> routes = new ArrayList<>(entry.getValue());
            routes.sort(Comparator.comparingInt(r -> -r.prefix().length()));
            hosts.put(entry.getKey(), List.copyOf(routes));
        }
        this.routesByHost = Map.copyOf(hosts);
        this.maxConnections = Map.copyOf(builder.maxConnections);
        this.healthPaths = Map.copyOf(builder.healthPaths);
        this.limits = builder.limits;
        this.encoded = builder.encoded;
    }

    /** The version's number; a node only ever installs a higher one. */
    public long number() {
        return number;
    }

    /** What callers may send. */
    public CallerLimits limits() {
        return limits;
    }

    /** The connections that one backend server of a service accepts from all callers together, 0 if unknown. */
    public int maxConnections(String service) {
        return maxConnections.getOrDefault(service, 0);
    }

    /** Where a backend server of a service answers how it is; empty if it does not. */
    public Optional<String> healthPath(String service) {
        return Optional.ofNullable(healthPaths.get(service)).filter(p -> p.startsWith("/"));
    }

    /** The bytes this version was read from, for other nodes; not to be changed. */
    public byte[] encoded() {
        return encoded;
    }

    /** How many routes there are. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * The route with the longest prefix that begins the path.
     *
     * @param host as the caller sent it, with or without a port
     * @param path with or without a query
     */
    public Optional<Route> route(String host, String path) {
        List<Route> routes = routesByHost.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (Route route : routes) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Collects the parts of a version; {@link #build} makes it whole. */
    public static final class Builder {
        private final long number;
        private final byte[] encoded;
        private final Map<String, List<Route>> routesByHost = new HashMap<>();
        private final Map<String, Integer> maxConnections = new HashMap<>();
        private final Map<String, String> healthPaths = new HashMap<>();
        private CallerLimits limits = new CallerLimits(16_384, 1 << 20, 3_000_000_000L, 15_000_000_000L);

        /**
         * @param number of the version
         * @param encoded the bytes it is read from
         */
        public Builder(long number, byte[] encoded) {
            this.number = number;
            this.encoded = encoded;
        }

        /** Adds a route of a host. */
        public Builder route(String host, Route route) {
            routesByHost
                    .computeIfAbsent(host.toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
            return this;
        }

        /** Adds a service and the connections that each of its backend servers accepts. */
        public Builder service(String name, int connections) {
            maxConnections.put(name, connections);
            return this;
        }

        /**
         * Adds a service, the connections that each of its backend servers accepts, and where those tell their health.
         */
        public Builder service(String name, int connections, String healthPath) {
            healthPaths.put(name, healthPath);
            return service(name, connections);
        }

        /** Sets what callers may send. */
        public Builder limits(CallerLimits callerLimits) {
            this.limits = callerLimits;
            return this;
        }

        /**
         * The whole version.
         *
         * @throws IllegalArgumentException if a route leads to a service that the version lacks
         */
        public ConfigurationVersion build() {
            for (List<Route> routes : routesByHost.values()) {
                routes.forEach(this::requireKnownServices);
            }
            return new ConfigurationVersion(this);
        }

        private void requireKnownServices(Route route) {
            for (WeightedService weightedService : route.weightedServices()) {
                if (!maxConnections.containsKey(weightedService.service())) {
                    throw new IllegalArgumentException(
                            "route " + route.name() + " leads to unknown service " + weightedService.service());
                }
            }
        }
    }
}
