package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.quota.RequestQuota;
import org.berylwick.node.transport.RequestBody;

/**
 * Creates the calls of an entry, the node that callers send their requests to. Works out each call's deadline and the
 * time from which its latency objective counts. Confined to the event loop.
 */
public final class EntryCallFactory {
    /** Deadline of a request whose caller states none. */
    private static final long DEFAULT_DEADLINE_NANOS = 10_000_000_000L;
    /** Time reserved for the response to reach the caller. */
    private static final long RESPONSE_TRANSIT_NANOS = 10_000_000L;

    private final EntryContext context;
    private final CallerWaitEstimator callerWaitEstimator = new CallerWaitEstimator();
    private long latestDeadlineAt = Long.MAX_VALUE;
    private boolean refusingLongRequests;

    /**
     * @param clock clock whose tasks run on the same thread as everything here
     * @param headerNames names of the headers that callers use
     * @param callerService service on this VM, which the callers belong to
     * @param starter sends attempts to owners
     * @param candidates supplies the nodes that may run a request
     * @param retryBudget limits retries
     * @param hedging decides on second attempts of slow requests, empty if there are none
     * @param quarantine requests that no backend server should run
     * @param maxBufferedBytes maximum number of bytes that all buffered responses together may take up
     * @param instruments counters and event log
     * @param random supplies random numbers, uniform in [0, 1)
     */
    public EntryCallFactory(
            Clock clock,
            HeaderNames headerNames,
            Supplier<String> callerService,
            AttemptStarter starter,
            CandidateSource candidates,
            RetryBudget retryBudget,
            Optional<HedgePolicy> hedging,
            Quarantine quarantine,
            long maxBufferedBytes,
            Instruments instruments,
            DoubleSupplier random) {
        this.context = new EntryContext(
                clock,
                headerNames,
                callerService,
                starter,
                candidates,
                new CandidateChooser(random),
                retryBudget,
                hedging,
                new ResponseEstimator(),
                new CallerRetryRate(),
                new ResponseBufferBudget(maxBufferedBytes),
                quarantine,
                instruments.counters(),
                instruments.log(),
                random);
    }

    /** Returns the number of bytes that buffered responses take up. */
    public long bufferedBytes() {
        return context.responseBufferBudget().bytesInUse();
    }

    /** Returns the memory limit for buffered responses. */
    ResponseBufferBudget responseBufferBudget() {
        return context.responseBufferBudget();
    }

    /**
     * Limits the deadline of calls created from now on, because the process is being shut down.
     *
     * @param latestAt latest deadline, on the scale of {@link System#nanoTime}
     */
    void capDeadlines(long latestAt) {
        latestDeadlineAt = latestAt;
    }

    /**
     * From now on, {@link #mayOutlastShutdown} tells which requests are to be refused, as other nodes can serve them.
     */
    void refuseLongRequests() {
        refusingLongRequests = true;
    }

    /**
     * Returns whether a backend server might still be at work on a request when the process has to end. It would be cut
     * then, and nobody would know whether it ran.
     */
    boolean mayOutlastShutdown(Route route, HttpHeaders headers) {
        if (!refusingLongRequests) {
            return false;
        }
        double longestNanos = Math.min(
                callerTimeoutNanos(headers), context.responseEstimates().slowestNanos(route));
        if (route.timeoutNanos() > 0) {
            longestNanos = Math.min(longestNanos, route.timeoutNanos());
        }
        return longestNanos > latestDeadlineAt - context.clock().now();
    }

    /**
     * Creates a call; the caller of this method has to start it.
     *
     * @param version configuration version in force
     * @param admission route and organisation of the request
     * @param request the caller's request
     * @param sink receives the response
     */
    public CallHandle create(
            ConfigurationVersion version, Admission admission, CallerRequest request, ResponseSink sink) {
        Route route = admission.route();
        long receivedAt = context.clock().now() - request.waitedNanos();
        HttpHeaders headers = Headers.endToEnd(request.headers());
        String id = requestId(headers);
        long callerTimeoutNanos = callerTimeoutNanos(headers);
        long waitedNanos = callerWaitEstimator.waitedNanos(route.name(), callerTimeoutNanos);
        long deadlineAt = receivedAt + Math.max(1_000_000L, callerTimeoutNanos - RESPONSE_TRANSIT_NANOS);
        headers.remove(context.headerNames().deadline());
        headers.remove(context.headerNames().targetIncarnation());
        headers.remove(context.headerNames().callerService());
        headers.remove(context.headerNames().organisationKey());
        headers.remove(context.headerNames().organisation());
        if (route.timeoutNanos() > 0) {
            deadlineAt = Math.min(deadlineAt, receivedAt + route.timeoutNanos());
        }
        deadlineAt = Math.min(deadlineAt, latestDeadlineAt);
        long objectiveAt = route.objectiveNanos() > 0 ? receivedAt - waitedNanos + route.objectiveNanos() : deadlineAt;
        CallSpec spec = new CallSpec(
                id,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                route.serviceAt(context.random().getAsDouble()),
                context.callerService().get(),
                RequestClass.of(route),
                objectiveAt,
                deadlineAt,
                0,
                1,
                0,
                (int) context.responseEstimates().expectedBytes(route),
                admission.organisation());
        return new EntryCall(
                context, route, spec, receivedAt, version.number(), waitedNanos > 0, admission.permit(), sink);
    }

    /** Returns the id of a request from its headers, empty if it has none. */
    String requestId(HttpHeaders headers) {
        return headers.get(context.headerNames().requestId(), "");
    }

    private long callerTimeoutNanos(HttpHeaders headers) {
        String text = headers.get(context.headerNames().deadline());
        if (text == null) {
            return DEFAULT_DEADLINE_NANOS;
        }
        try {
            return (long) (Double.parseDouble(text.trim()) * 1_000_000);
        } catch (NumberFormatException e) {
            return DEFAULT_DEADLINE_NANOS;
        }
    }

    /**
     * What allows a request to be sent.
     *
     * @param route its route
     * @param organisation the organisation that it belongs to
     * @param permit released if no backend server runs the request
     */
    public record Admission(Route route, OrganisationTag organisation, RequestQuota.Permit permit) {
        /** Admits a request that belongs to no organisation. */
        public static Admission withoutOrganisation(Route route) {
            return new Admission(route, OrganisationTag.NONE, RequestQuota.Permit.UNLIMITED);
        }
    }

    /**
     * A caller's request.
     *
     * @param method HTTP method as sent
     * @param uri path and query as sent
     * @param headers headers as sent
     * @param body body, complete or still being received; released when the call ends
     * @param waitedNanos time for which the request waited for those ahead of it on its connection
     */
    public record CallerRequest(
            HttpMethod method, String uri, HttpHeaders headers, RequestBody body, long waitedNanos) {
        /** Creates a request that has not waited. */
        public CallerRequest(HttpMethod method, String uri, HttpHeaders headers, RequestBody body) {
            this(method, uri, headers, body, 0);
        }
    }
}
