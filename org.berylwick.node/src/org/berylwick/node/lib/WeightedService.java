package org.berylwick.node.lib;

/**
 * A service that receives a part of the traffic of a route.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route
 */
public record WeightedService(String service, double weight) {}
