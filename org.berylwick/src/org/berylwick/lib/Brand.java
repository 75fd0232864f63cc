package org.berylwick.lib;

import java.util.List;
import java.util.Map;

/**
 * One name under which the operator sells the service.
 *
 * @param name unique among brands
 * @param hosts the host names (without port) whose requests carry the brand; unique over all brands
 * @param labels what routes and policies select brands by
 * @param headers request headers that backend servers receive with this brand's traffic
 */
public record Brand(String name, List<String> hosts, Labels labels, Map<String, String> headers) {
    /** Copies the collections. */
    public Brand {
        hosts = List.copyOf(hosts);
        headers = Map.copyOf(headers);
    }
}
