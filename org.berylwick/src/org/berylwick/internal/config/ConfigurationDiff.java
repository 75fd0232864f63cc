package org.berylwick.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Route;
import org.berylwick.lib.Selector;
import org.berylwick.lib.ServiceSpec;

/** Compares two configurations object by object, and tells whose traffic each difference reaches. */
public final class ConfigurationDiff {
    private final Configuration older;
    private final Configuration newer;

    private ConfigurationDiff(Configuration older, Configuration newer) {
        this.older = older;
        this.newer = newer;
    }

    /** The changes from {@code older} to {@code newer}, sorted by kind and name. */
    public static List<ObjectChange> between(Configuration older, Configuration newer) {
        return new ConfigurationDiff(older, newer).changes();
    }

    private List<ObjectChange> changes() {
        List<ObjectChange> changes = new ArrayList<>();
        collect(changes, ObjectRef.Kind.BRAND, older.brands(), newer.brands(), (side, brand) -> Set.of(brand.name()));
        collect(
                changes,
                ObjectRef.Kind.POLICY,
                older.policies(),
                newer.policies(),
                (side, policy) -> brandsOf(side, policy.brands()));
        collect(
                changes,
                ObjectRef.Kind.ROUTE,
                older.routes(),
                newer.routes(),
                (side, route) -> brandsOf(side, route.brands()));
        collect(
                changes,
                ObjectRef.Kind.SERVICE,
                older.services(),
                newer.services(),
                (side, service) -> brandsOf(service));
        return changes;
    }

    private <T> void collect(
            List<ObjectChange> into,
            ObjectRef.Kind kind,
            SortedMap<String, T> before,
            SortedMap<String, T> after,
            BiFunction<Configuration, T, Set<String>> brands) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T old = before.get(name);
            T now = after.get(name);
            if (old == null) {
                into.add(change(ObjectChange.Kind.ADDED, kind, name, brands.apply(newer, now)));
            } else if (now == null) {
                into.add(change(ObjectChange.Kind.REMOVED, kind, name, brands.apply(older, old)));
            } else if (!old.equals(now)) {
                Set<String> both = new TreeSet<>(brands.apply(older, old));
                both.addAll(brands.apply(newer, now));
                into.add(change(ObjectChange.Kind.CHANGED, kind, name, both));
            }
        }
    }

    private static ObjectChange change(ObjectChange.Kind change, ObjectRef.Kind kind, String name, Set<String> brands) {
        return new ObjectChange(change, new ObjectRef(kind, name), List.copyOf(brands));
    }

    private static Set<String> brandsOf(Configuration side, Selector selector) {
        Set<String> names = new TreeSet<>();
        for (Brand brand : side.brands().values()) {
            if (selector.matches(brand.labels())) {
                names.add(brand.name());
            }
        }
        return names;
    }

    /** The brands with a route to the service in either configuration. */
    private Set<String> brandsOf(ServiceSpec service) {
        Set<String> names = new TreeSet<>();
        for (Configuration side : List.of(older, newer)) {
            for (Route route : side.routes().values()) {
                if (route.service().equals(service.name())) {
                    names.addAll(brandsOf(side, route.brands()));
                }
            }
        }
        return names;
    }
}
