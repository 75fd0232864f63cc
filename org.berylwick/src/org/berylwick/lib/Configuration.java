package org.berylwick.lib;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All declared objects of one version, by name.
 *
 * @param brands by {@link Brand#name()}
 * @param routes by {@link Route#name()}
 * @param policies by {@link Policy#name()}
 * @param services by {@link ServiceSpec#name()}
 */
public record Configuration(
        SortedMap<String, Brand> brands,
        SortedMap<String, Route> routes,
        SortedMap<String, Policy> policies,
        SortedMap<String, ServiceSpec> services) {
    /** Nothing declared. */
    public static final Configuration EMPTY =
            new Configuration(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

    /** Copies the maps. */
    public Configuration {
        brands = Collections.unmodifiableSortedMap(new TreeMap<>(brands));
        routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
        policies = Collections.unmodifiableSortedMap(new TreeMap<>(policies));
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
    }
}
