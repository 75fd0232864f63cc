package org.berylwick.internal.limit;

import java.util.EnumSet;
import java.util.Set;
import org.berylwick.internal.routing.RoutingTable;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TrafficClass;

/**
 * Limits for the slots of one backend server, from the configuration in force.
 *
 * @param slots requests that the backend server runs concurrently, at least 1
 * @param queueLimit maximum number of waiting requests
 * @param classes traffic classes that the routes send to the service; only these have a guaranteed share
 */
public record SlotLimits(int slots, int queueLimit, Set<TrafficClass> classes) {
    /** Copies the set; an empty set stands for all classes. */
    public SlotLimits {
        classes = classes.isEmpty() ? Set.of(TrafficClass.values()) : Set.copyOf(classes);
    }

    /** Returns limits with a guaranteed share for every class. */
    public static SlotLimits ofAllClasses(int slots, int queueLimit) {
        return new SlotLimits(slots, queueLimit, Set.of());
    }

    /** Returns the limits of a service, with the traffic classes that its routes and their policies can produce. */
    public static SlotLimits of(Configuration configuration, ServiceSpec service) {
        Set<TrafficClass> classes = EnumSet.noneOf(TrafficClass.class);
        configuration.routes().values().stream()
                .filter(r -> r.service().equals(service.name()))
                .forEach(r -> configuration.brands().values().stream()
                        .filter(b -> r.brands().matches(b.labels()))
                        .forEach(b -> RoutingTable.policyOf(configuration, b, r)
                                .ifPresent(p -> classes.add(p.trafficClass()))));
        return new SlotLimits(service.slots(), service.queueLimit(), classes);
    }
}
