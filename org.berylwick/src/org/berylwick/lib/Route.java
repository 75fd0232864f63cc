package org.berylwick.lib;

import java.util.List;

/**
 * Sends requests of some brands under a path to a service.
 *
 * @param name unique among routes
 * @param labels what policies select routes by
 * @param brands the brands that have this route
 * @param path path prefix, whole segments, beginning with a slash
 * @param methods the request methods; empty for all
 * @param service the declared service that answers
 * @param servers the backend servers of that service that may answer, by their labels
 */
public record Route(
        String name,
        Labels labels,
        Selector brands,
        String path,
        List<String> methods,
        String service,
        Selector servers) {
    /** Copies the list. */
    public Route {
        methods = List.copyOf(methods);
    }
}
