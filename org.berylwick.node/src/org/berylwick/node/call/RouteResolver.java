package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.Route;

/** Finds the route of a caller's request, and the organisation that its key belongs to. */
final class RouteResolver {
    private RouteResolver() {}

    /** What a configuration version provides for a request. */
    sealed interface Resolution {
        /**
         * The request may be sent.
         *
         * @param route its route
         * @param organisation the organisation that sends it, empty if the route requires no key
         */
        record Resolved(Route route, Optional<Organisation> organisation) implements Resolution {}

        /** No route matches. */
        record NoRoute() implements Resolution {}

        /** The route requires a key, and the request has none that an organisation holds. */
        record UnknownKey(Route route) implements Resolution {}
    }

    /**
     * Resolves a request.
     *
     * @param version configuration version in force
     * @param request the request
     * @param keyHeader name of the header with the key of an organisation
     */
    static Resolution resolve(ConfigurationVersion version, HttpRequest request, String keyHeader) {
        HttpHeaders headers = request.headers();
        Optional<Route> route = version.route(headers.get(HttpHeaderNames.HOST, ""), request.uri());
        if (route.isEmpty()) {
            return new Resolution.NoRoute();
        }
        if (!version.hasOrganisations() || !route.get().requiresKey()) {
            return new Resolution.Resolved(route.get(), Optional.empty());
        }
        Optional<Organisation> organisation = organisation(version, headers.getAll(keyHeader));
        return organisation.isPresent()
                ? new Resolution.Resolved(route.get(), organisation)
                : new Resolution.UnknownKey(route.get());
    }

    /** Returns the organisation of a key; several keys in one request would leave open which of them counts. */
    private static Optional<Organisation> organisation(ConfigurationVersion version, List<String> keys) {
        return keys.size() == 1 ? version.organisationOfKey(keys.get(0)) : Optional.empty();
    }
}
