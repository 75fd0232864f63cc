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

    /** Tells whether the object is declared. */
    public boolean has(ObjectRef ref) {
        return of(ref.kind()).containsKey(ref.name());
    }

    /** All objects of one kind, by name. */
    public SortedMap<String, ?> of(ObjectRef.Kind kind) {
        return switch (kind) {
            case BRAND -> brands;
            case ROUTE -> routes;
            case POLICY -> policies;
            case SERVICE -> services;
        };
    }

    /** How many objects of all kinds are declared. */
    public int size() {
        return brands.size() + routes.size() + policies.size() + services.size();
    }
}
