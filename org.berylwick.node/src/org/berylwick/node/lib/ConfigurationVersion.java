package org.berylwick.node.lib;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An accepted, complete and immutable version of the mesh configuration. */
public final class ConfigurationVersion {
    private final long number;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Integer> maxConnectionsByService;
    private final Map<String, String> healthPathByService;
    private final CallerLimits limits;
    private final Map<String, Organisation> organisationsByName;
    private final Map<String, Organisation> organisationsByKey;
    private final boolean hasLimits;
    private final byte[] encoded;

    private ConfigurationVersion(Builder builder) {
        this.number = builder.number;
        Map<String, List<Route>> hosts = new HashMap<>();
        for (Map.Entry<String, List<Route>> entry : builder.routesByHost.entrySet()) {
            List<Route> routes = new ArrayList<>(entry.getValue());
            routes.sort(
                    (a, b) -> Integer.compare(b.prefix().length(), a.prefix().length()));
            hosts.put(entry.getKey(), List.copyOf(routes));
        }
        this.routesByHost = Map.copyOf(hosts);
        this.maxConnectionsByService = Map.copyOf(builder.maxConnectionsByService);
        this.healthPathByService = Map.copyOf(builder.healthPathByService);
        this.limits = builder.limits;
        this.organisationsByName = Map.copyOf(builder.organisationsByName);
        this.organisationsByKey = Map.copyOf(builder.organisationsByKey);
        this.hasLimits = organisationsByName.values().stream().anyMatch(Organisation::isLimited);
        this.encoded = builder.encoded;
    }

    /**
     * Returns the version number. A node installs a version only if its number is higher than that of the current one.
     */
    public long number() {
        return number;
    }

    /** Returns the limits for requests of callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Whether callers belong to organisations, and identify themselves by a key. */
    public boolean hasOrganisations() {
        return !organisationsByName.isEmpty();
    }

    /** Whether the requests of an organisation are limited. */
    public boolean hasLimits() {
        return hasLimits;
    }

    /** Returns an organisation by its name. */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisationsByName.get(name));
    }

    /** Returns the organisation that holds a key. */
    public Optional<Organisation> organisationOfKey(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /** Returns how many connections one backend server of a service accepts in total, 0 if unknown. */
    public int maxConnections(String service) {
        return maxConnectionsByService.getOrDefault(service, 0);
    }

    /** Returns the path of the health check of a service, empty if it has none. */
    public Optional<String> healthPath(String service) {
        return Optional.ofNullable(healthPathByService.get(service)).filter(p -> p.startsWith("/"));
    }

    /** Returns the encoded form that this version was read from, as sent to other nodes. Must not be modified. */
    public byte[] encoded() {
        return encoded;
    }

    /** Returns the number of routes of all hosts. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Finds the route of a host with the longest prefix that matches a path.
     *
     * @param host value of the Host header, with or without a port
     * @param path request path, with or without a query
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

    /** Builder for {@link ConfigurationVersion}. */
    public static final class Builder {
        private final long number;
        private final byte[] encoded;
        private final Map<String, List<Route>> routesByHost = new HashMap<>();
        private final Map<String, Integer> maxConnectionsByService = new HashMap<>();
        private final Map<String, String> healthPathByService = new HashMap<>();
        private final Map<String, Organisation> organisationsByName = new HashMap<>();
        private final Map<String, Organisation> organisationsByKey = new HashMap<>();
        private CallerLimits limits = new CallerLimits(16_384, 1 << 20, 3_000_000_000L, 15_000_000_000L);

        /**
         * @param number version number
         * @param encoded encoded form that the version is read from
         */
        public Builder(long number, byte[] encoded) {
            this.number = number;
            this.encoded = encoded;
        }

        /** Adds a route to a host. */
        public Builder route(String host, Route route) {
            routesByHost
                    .computeIfAbsent(host.toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
            return this;
        }

        /** Adds a service and the number of connections that each of its backend servers accepts. */
        public Builder service(String name, int connections) {
            maxConnectionsByService.put(name, connections);
            return this;
        }

        /**
         * Adds a service, the number of connections that each of its backend servers accepts, and the path of their
         * health check.
         */
        public Builder service(String name, int connections, String healthPath) {
            healthPathByService.put(name, healthPath);
            return service(name, connections);
        }

        /**
         * Adds an organisation and its keys.
         *
         * @throws IllegalArgumentException if the name is in use, or a key is blank or held by another organisation.
         *     The message names the organisations, never the key.
         */
        public Builder organisation(Organisation organisation, List<String> keys) {
            if (organisationsByName.putIfAbsent(organisation.name(), organisation) != null) {
                throw new IllegalArgumentException("organisation " + organisation.name() + " is declared twice");
            }
            for (String key : keys) {
                if (key.isBlank()) {
                    throw new IllegalArgumentException("organisation " + organisation.name() + " has a blank key");
                }
                Organisation holder = organisationsByKey.putIfAbsent(key, organisation);
                if (holder != null && holder != organisation) {
                    throw new IllegalArgumentException(
                            "organisations " + holder.name() + " and " + organisation.name() + " share a key");
                }
            }
            return this;
        }

        /** Sets the limits for requests of callers. */
        public Builder limits(CallerLimits callerLimits) {
            this.limits = callerLimits;
            return this;
        }

        /**
         * Builds the version.
         *
         * @throws IllegalArgumentException if a route refers to a service that was not added
         */
        public ConfigurationVersion build() {
            for (List<Route> routes : routesByHost.values()) {
                routes.forEach(this::requireKnownServices);
            }
            return new ConfigurationVersion(this);
        }

        private void requireKnownServices(Route route) {
            for (WeightedService weightedService : route.weightedServices()) {
                if (!maxConnectionsByService.containsKey(weightedService.service())) {
                    throw new IllegalArgumentException(
                            "route " + route.name() + " refers to unknown service " + weightedService.service());
                }
            }
        }
    }
}
