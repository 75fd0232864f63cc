package org.berylwick.internal.config;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.ServiceSpec;

/**
 * What an operator wants changed: objects to add or replace, and objects to remove.
 *
 * @param upserts added, or replaced as a whole
 * @param removals must exist in the base
 */
public record ChangeSet(Configuration upserts, List<ObjectRef> removals) {
    /** Copies the list. */
    public ChangeSet {
        removals = List.copyOf(removals);
    }

    /** The base with this change made; not validated yet. */
    public Configuration applyTo(Configuration base) {
        SortedMap<String, Brand> brands = new TreeMap<>(base.brands());
        SortedMap<String, Route> routes = new TreeMap<>(base.routes());
        SortedMap<String, Policy> policies = new TreeMap<>(base.policies());
        SortedMap<String, ServiceSpec> services = new TreeMap<>(base.services());
        for (ObjectRef ref : removals) {
            switch (ref.kind()) {
                case BRAND -> brands.remove(ref.name());
                case ROUTE -> routes.remove(ref.name());
                case POLICY -> policies.remove(ref.name());
                case SERVICE -> services.remove(ref.name());
            }
        }
        brands.putAll(upserts.brands());
        routes.putAll(upserts.routes());
        policies.putAll(upserts.policies());
        services.putAll(upserts.services());
        return new Configuration(brands, routes, policies, services);
    }
}
