package org.berylwick.node.lib;

import java.util.List;

/**
 * Where requests of one host under one path prefix go, and what holds for them.
 *
 * @param name the operator's name of the route
 * @param prefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutNanos the longest time a request is kept waiting, 0 for no such limit
 * @param objectiveNanos the latency objective, 0 if none was set
 * @param maxAttempts the most backend servers that one request may run on
 * @param priority its rank, 0 the highest
 * @param weightedServices the services that serve it, at least one
 */
public record Route(
        String name,
        String prefix,
        RouteKind kind,
        long timeoutNanos,
        long objectiveNanos,
        int maxAttempts,
        int priority,
        List<WeightedService> weightedServices) {
    public Route {
        weightedServices = List.copyOf(weightedServices);
        if (weightedServices.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * The service for one request.
     *
     * @param point in [0, 1), uniformly drawn
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
