package org.berylwick.node.lib;

import java.util.List;

/**
 * Destination and policy of the requests to one host under one path prefix.
 *
 * @param name name given by the operator
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind whether the requests may be retried, and whether their responses are large
 * @param timeoutNanos longest time until a request is answered, 0 for no limit
 * @param objectiveNanos latency objective, 0 for none
 * @param maxAttempts maximum number of backend servers that one request may run on
 * @param priority priority, 0 being the highest
 * @param weightedServices services that the requests are distributed over, at least one
 * @param requiresKey whether requests must carry the key of an organisation, if the configuration declares any
 */
public record Route(
        String name,
        String prefix,
        RouteKind kind,
        long timeoutNanos,
        long objectiveNanos,
        int maxAttempts,
        int priority,
        List<WeightedService> weightedServices,
        boolean requiresKey) {
    public Route {
        weightedServices = List.copyOf(weightedServices);
        if (weightedServices.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /** Creates a route whose requests need no key. */
    public Route(
            String name,
            String prefix,
            RouteKind kind,
            long timeoutNanos,
            long objectiveNanos,
            int maxAttempts,
            int priority,
            List<WeightedService> weightedServices) {
        this(name, prefix, kind, timeoutNanos, objectiveNanos, maxAttempts, priority, weightedServices, false);
    }

    /**
     * Selects the service for a request according to the weights.
     *
     * @param point uniformly distributed random number in [0, 1)
     */
    public String serviceAt(double point) {
        if (weightedServices.size() == 1) {
            return weightedServices.get(0).service();
        }
        double total = 0;
        for (WeightedService weightedService : weightedServices) {
            total += weightedService.weight();
        }
        double remainder = point * total;
        for (WeightedService weightedService : weightedServices) {
            remainder -= weightedService.weight();
            if (remainder < 0) {
                return weightedService.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
