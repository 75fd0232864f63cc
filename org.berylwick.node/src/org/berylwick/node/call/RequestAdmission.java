package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.quota.RequestQuota;
import org.berylwick.node.version.VersionFreshness;

/**
 * Decides whether a caller's request is sent to a backend server: finds its route and the organisation that its key
 * belongs to, and requests a permit. Confined to the event loop.
 *
 * <p>A request is denied for an unknown path or key only if the version in force is known to be the newest one.
 */
final class RequestAdmission {
    /** Retry-After of refusals that are not due to load: no configuration version, or one that may be outdated. */
    private static final double UNAVAILABLE_RETRY_AFTER_S = 0.3;

    private final Supplier<Optional<ConfigurationVersion>> version;
    private final VersionFreshness freshness;
    private final RequestQuota quota;
    private final HeaderNames headerNames;
    private final Instruments instruments;

    /**
     * @param version configuration version in force, empty until the first one is installed
     * @param freshness what is known of newer versions on other nodes
     * @param quota limits the requests of organisations
     * @param headerNames names of the headers that callers use
     * @param instruments counters and event log
     */
    RequestAdmission(
            Supplier<Optional<ConfigurationVersion>> version,
            VersionFreshness freshness,
            RequestQuota quota,
            HeaderNames headerNames,
            Instruments instruments) {
        this.version = version;
        this.freshness = freshness;
        this.quota = quota;
        this.headerNames = headerNames;
        this.instruments = instruments;
    }

    /** Result of the decision. */
    sealed interface Result {
        /**
         * The request may be sent.
         *
         * @param version the configuration version that it was resolved with
         * @param admission what allows it
         */
        record Admitted(ConfigurationVersion version, EntryCallFactory.Admission admission) implements Result {}

        /** The request is answered with a final status. */
        record Denied(int status) implements Result {}

        /** The request is refused for now, and was not run. */
        record Refused(int status, double retryAfterSeconds) implements Result {}
    }

    /**
     * Decides on a request.
     *
     * @param request head of the request
     * @param onResult receives the result, during this call or later
     */
    void decide(HttpRequest request, Consumer<Result> onResult) {
        if (version.get().isEmpty()) {
            instruments.counters().increment(NodeMetricNames.ENTRY_REFUSED_NO_VERSION);
            onResult.accept(new Result.Refused(503, UNAVAILABLE_RETRY_AFTER_S));
            return;
        }
        if (admitIfResolved(request, onResult)) {
            return;
        }
        freshness.decide(newest -> {
            if (!admitIfResolved(request, onResult)) {
                onResult.accept(reject(request, newest));
            }
        });
    }

    /**
     * Returns whether a request is known to be one that may run more than once; false also if its route or organisation
     * is not known. Requests no permit.
     */
    boolean isRepeatable(HttpRequest request) {
        return version.get().isPresent()
                && resolve(request) instanceof RouteResolver.Resolution.Resolved resolved
                && resolved.route().kind().isRetryable();
    }

    private RouteResolver.Resolution resolve(HttpRequest request) {
        return RouteResolver.resolve(version.get().orElseThrow(), request, headerNames.organisationKey());
    }

    private boolean admitIfResolved(HttpRequest request, Consumer<Result> onResult) {
        if (!(resolve(request) instanceof RouteResolver.Resolution.Resolved resolved)) {
            return false;
        }
        ConfigurationVersion current = version.get().orElseThrow();
        if (resolved.organisation().isEmpty()) {
            onResult.accept(
                    new Result.Admitted(current, EntryCallFactory.Admission.withoutOrganisation(resolved.route())));
            return true;
        }
        Organisation organisation = resolved.organisation().get();
        quota.acquire(
                organisation,
                decision -> onResult.accept(
                        switch (decision) {
                            case RequestQuota.Decision.Granted granted ->
                                new Result.Admitted(
                                        current,
                                        new EntryCallFactory.Admission(
                                                resolved.route(), organisation.tag(), granted.permit()));
                            case RequestQuota.Decision.Refused refused -> {
                                instruments.counters().increment(NodeMetricNames.ENTRY_REFUSED_QUOTA);
                                yield new Result.Refused(429, refused.retryAfterNanos() / 1e9);
                            }
                        }));
        return true;
    }

    private Result reject(HttpRequest request, boolean newest) {
        boolean keyUnknown = resolve(request) instanceof RouteResolver.Resolution.UnknownKey;
        long number = version.get().orElseThrow().number();
        instruments
                .log()
                .write(
                        keyUnknown ? Event.KEY_UNKNOWN : Event.ROUTE_NOT_FOUND,
                        "id",
                        request.headers().get(headerNames.requestId(), ""),
                        "version",
                        number,
                        "newest",
                        freshness.newestNumber(),
                        "nodesAhead",
                        freshness.membersAhead(number));
        if (!newest) {
            instruments.counters().increment(NodeMetricNames.ENTRY_REFUSED_OUTDATED);
            return new Result.Refused(503, UNAVAILABLE_RETRY_AFTER_S);
        }
        instruments
                .counters()
                .increment(keyUnknown ? NodeMetricNames.ENTRY_UNKNOWN_KEY : NodeMetricNames.ENTRY_NO_ROUTE);
        return new Result.Denied(keyUnknown ? 401 : 404);
    }
}
