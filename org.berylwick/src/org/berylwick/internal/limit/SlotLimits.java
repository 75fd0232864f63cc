package org.berylwick.internal.limit;

import java.util.EnumSet;
import java.util.Set;
import org.berylwick.internal.routing.RoutingTable;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TrafficClass;

/**
 * What the configuration in force says about the slots of one backend server.
 *
 * @param slots requests that the backend server runs at once, at least 1
 * @param queueLimit requests that may wait
 * @param classes the traffic classes that some route brings to the service; only these have a guaranteed share
 */
public record SlotLimits(int slots, int queueLimit, Set<TrafficClass> classes) {
    /** Copies the set; no class at all counts as every class. */
    public SlotLimits {
        classes = classes.isEmpty() ? Set.of(TrafficClass.values()) : Set.copyOf(classes);
    }

    /** Limits under which every class has a share. */
    public static SlotLimits ofAllClasses(int slots, int queueLimit) {
        return new SlotLimits(slots, queueLimit, Set.of());
    }

    /** Reads the limits of a service, and from routes and policies which classes it can meet. */
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
