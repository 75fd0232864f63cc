package org.berylwick.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
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
        collect(changes, ObjectRef.Kind.BRAND, older.brands(), newer.brands(), (brand, b) -> brand.equals(b));
        collect(changes, ObjectRef.Kind.POLICY, older.policies(), newer.policies(), ConfigurationDiff::reaches);
        collect(changes, ObjectRef.Kind.ROUTE, older.routes(), newer.routes(), ConfigurationDiff::reaches);
        collect(changes, ObjectRef.Kind.SERVICE, older.services(), newer.services(), this::reaches);
        return changes;
    }

    private <T> void collect(
            List<ObjectChange> into,
            ObjectRef.Kind kind,
            SortedMap<String, T> before,
            SortedMap<String, T> after,
            BiPredicate<T, Brand> reaches) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T old = before.get(name);
            T now = after.get(name);
            if (old == null) {
                into.add(change(ObjectChange.Kind.ADDED, kind, name, brandsOf(newer, now, reaches)));
            } else if (now == null) {
                into.add(change(ObjectChange.Kind.REMOVED, kind, name, brandsOf(older, old, reaches)));
            } else if (!old.equals(now)) {
                Set<String> brands = brandsOf(older, old, reaches);
                brands.addAll(brandsOf(newer, now, reaches));
                into.add(change(ObjectChange.Kind.CHANGED, kind, name, brands));
            }
        }
    }

    private static ObjectChange change(ObjectChange.Kind change, ObjectRef.Kind kind, String name, Set<String> brands) {
        return new ObjectChange(change, new ObjectRef(kind, name), List.copyOf(brands));
    }

    private static <T> Set<String> brandsOf(Configuration side, T object, BiPredicate<T, Brand> reaches) {
        Set<String> names = new TreeSet<>();
        for (Brand brand : side.brands().values()) {
            if (reaches.test(object, brand)) {
                names.add(brand.name());
            }
        }
        return names;
    }

    private static boolean reaches(Policy policy, Brand brand) {
        return policy.brands().matches(brand.labels());
    }

    private static boolean reaches(Route route, Brand brand) {
        return route.brands().matches(brand.labels());
    }

    private boolean reaches(ServiceSpec service, Brand brand) {
        return routesTo(older, service, brand) || routesTo(newer, service, brand);
    }

    private static boolean routesTo(Configuration side, ServiceSpec service, Brand brand) {
        return side.routes().values().stream().anyMatch(r -> r.service().equals(service.name()) && reaches(r, brand));
    }
}
