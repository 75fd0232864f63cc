package org.berylwick.daemon.admin;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.internal.routing.RoutingTable;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Snapshot;
import org.berylwick.proto.Candidate;
import org.berylwick.proto.ExplainRouteReply;
import org.berylwick.proto.ExplainRouteRequest;

/** Tells step by step what a request would meet, by the same table that requests use. */
final class RouteExplainer {
    private final Snapshot snapshot;
    private final MembershipView members;
    private final Place own;
    private final ExplainRouteReply.Builder reply = ExplainRouteReply.newBuilder();

    RouteExplainer(Snapshot snapshot, MembershipView members, Place own) {
        this.snapshot = snapshot;
        this.members = members;
        this.own = own;
    }

    ExplainRouteReply explain(ExplainRouteRequest request) {
        reply.setVersion(snapshot.id().number());
        Configuration configuration = snapshot.configuration();
        Optional<Brand> brand = brandOf(configuration, request.getHost());
        if (brand.isEmpty()) {
            reply.addReasons("no brand of version " + snapshot.id().number() + " has host " + request.getHost());
            return reply.build();
        }
        reply.setBrand(brand.get().name());
        reply.addReasons(
                "host " + request.getHost() + " is brand " + brand.get().name() + "'s");
        explainRoutes(configuration, brand.get(), request);
        Optional<RouteMatch> match = snapshot.table().find(request.getHost(), request.getMethod(), request.getPath());
        if (match.isEmpty()) {
            reply.addReasons("no route of the brand takes it");
            return reply.build();
        }
        explainPolicy(configuration, match.get());
        explainMembers(match.get());
        return reply.build();
    }

    private static Optional<Brand> brandOf(Configuration configuration, String host) {
        return configuration.brands().values().stream()
                .filter(b -> b.hosts().stream().anyMatch(host::equalsIgnoreCase))
                .findFirst();
    }

    private void explainRoutes(Configuration configuration, Brand brand, ExplainRouteRequest request) {
        List<Route> routes = configuration.routes().values().stream()
                .sorted(Comparator.comparingInt((Route r) -> -r.path().length()).thenComparing(Route::name))
                .toList();
        for (Route r : routes) {
            reply.addReasons("route " + r.name() + ": " + verdict(r, brand, request));
        }
    }

    private static String verdict(Route route, Brand brand, ExplainRouteRequest request) {
        if (!route.brands().matches(brand.labels())) {
            return "not for this brand (its brands are '" + route.brands() + "')";
        }
        if (!RoutingTable.isPathUnder(route.path(), request.getPath())) {
            return "path " + request.getPath() + " is not under " + route.path();
        }
        if (!RoutingTable.acceptsMethod(route, request.getMethod())) {
            return "method " + request.getMethod() + " is not one of " + String.join(", ", route.methods());
        }
        return "takes it; the longest path goes first, then a route that names methods";
    }

    private void explainPolicy(Configuration configuration, RouteMatch match) {
        Policy p = match.policy();
        reply.setMatched(true)
                .setRoute(match.route().name())
                .setService(match.service().name())
                .setPolicy(p.name())
                .setTrafficClass(p.trafficClass().name().toLowerCase(Locale.ROOT))
                .setTimeoutMs(p.timeoutMillis())
                .setMaxAttempts(p.maxAttempts())
                .setIdempotent(p.idempotent())
                .setIdempotencyKey(p.idempotencyKey().name().toLowerCase(Locale.ROOT));
        reply.addReasons("route " + match.route().name() + " is chosen and leads to service "
                + match.service().name());
        for (Policy other : configuration.policies().values()) {
            boolean selects = other.routes().matches(match.route().labels())
                    && other.brands().matches(match.brand().labels());
            if (selects) {
                String verdict = other.name().equals(p.name()) ? "applies" : "selects it, but its priority is lower";
                reply.addReasons("policy " + other.name() + " (priority " + other.priority() + "): " + verdict);
            }
        }
    }

    private void explainMembers(RouteMatch match) {
        for (Member m : members.ofService(match.service().name())) {
            Candidate.Builder candidate = Candidate.newBuilder()
                    .setInstance(m.instance())
                    .setAvailabilityZone(m.place().availabilityZone())
                    .setState(m.state().name());
            if (!match.route().servers().matches(m.labels())) {
                candidate.setReason("its labels do not match '" + match.route().servers() + "'");
            } else if (m.state() != Member.State.UP) {
                candidate.setReason("takes no new requests");
            } else {
                candidate.setEligible(true).setReason(nearness(m.place()));
            }
            reply.addCandidates(candidate);
        }
    }

    private String nearness(Place place) {
        if (place.equals(own)) {
            return "in this daemon's availability zone";
        }
        return place.region().equals(own.region()) ? "in this daemon's region" : "in another region";
    }
}
