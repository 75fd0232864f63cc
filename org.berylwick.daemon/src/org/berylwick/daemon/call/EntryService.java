package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/** Takes requests from callers, finds their brand and route, and has them run. */
public final class EntryService implements HttpService {
    private static final long MAX_REPLAYED_BODY_BYTES = 64 << 10;

    private static final long STARTING_RETRY_AFTER_MILLIS = 1_000;

    private final InstalledVersion installed;
    private final MembershipTable membership;
    private final KeyedForwarder forwarder;
    private final CallMetrics metrics;
    private final TimeSource time;
    private volatile boolean draining;

    EntryService(
            InstalledVersion installed,
            MembershipTable membership,
            KeyedForwarder forwarder,
            CallMetrics metrics,
            TimeSource time) {
        this.installed = installed;
        this.membership = membership;
        this.forwarder = forwarder;
        this.metrics = metrics;
        this.time = time;
    }

    /** Sends callers away from now on: each is still answered, and its connection ends with the answer. */
    void drain() {
        draining = true;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        if (draining) {
            // Connection: close with HTTP/1.1 and GOAWAY with HTTP/2: the caller goes elsewhere before the sockets
            // close, when a request of its could cross with the close and be lost.
            ctx.initiateConnectionShutdown();
        }
        return switch (CallerRequest.read(request.headers())) {
            case CallerRequest.Malformed(String detail) -> {
                metrics.countRejected();
                yield Problem.badRequest(newRequestId(), detail);
            }
            case CallerRequest.Accepted accepted -> find(ctx, request, accepted);
        };
    }

    private HttpResponse find(ServiceRequestContext ctx, HttpRequest request, CallerRequest.Accepted accepted) {
        Snapshot snapshot = installed.snapshot();
        String requestId = accepted.requestId().orElseGet(EntryService::newRequestId);
        if (snapshot.id().number() == 0) {
            // A daemon without a version knows no route at all; "no such route" would tell the caller to give up.
            return Problem.notRun(requestId, RefusalReason.STARTING, Optional.of(STARTING_RETRY_AFTER_MILLIS));
        }
        String host = accepted.host();
        Optional<RouteMatch> match =
                snapshot.table().find(host, request.method().name(), ctx.path());
        if (match.isEmpty()) {
            metrics.countRejected();
            return Problem.noRoute(requestId, "no route for " + request.method() + " " + host + ctx.path());
        }
        return forward(ctx, request, requestId, match.get(), accepted);
    }

    private static String newRequestId() {
        return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    }

    private HttpResponse forward(
            ServiceRequestContext ctx,
            HttpRequest request,
            String requestId,
            RouteMatch match,
            CallerRequest.Accepted accepted) {
        long policyMillis = match.policy().timeoutMillis();
        Optional<Deadline> callerBy = accepted.timeoutMillis().map(ms -> Deadline.afterMillis(time, ms));
        Deadline policyBy = Deadline.afterMillis(time, policyMillis);
        Deadline deadline = callerBy.map(policyBy::earlier).orElse(policyBy);
        TransferLimit limit = match.policy().trafficClass() == TrafficClass.BULK
                ? new TransferLimit.StallTimeout(policyMillis, callerBy)
                : new TransferLimit.CompletionDeadline(deadline);
        RequestHeaders headers = forwarded(request.headers(), requestId, match);
        Call call = new Call(
                requestId,
                match,
                membership.view(),
                deadline,
                limit,
                headers,
                new CallBody.Held(HttpData.empty()),
                ctx);
        long length = contentLength(request);
        if (length == 0) {
            return forwarder.forward(call);
        }
        if (length < 0 || length > MAX_REPLAYED_BODY_BYTES) {
            return forwarder.forward(call.withBody(CallBody.streamed(ctx, request)));
        }
        return hold(request, call);
    }

    /** Reads a small body to its end first, so that it can be sent again. */
    private HttpResponse hold(HttpRequest request, Call call) {
        var timeout = call.context()
                .eventLoop()
                .schedule(() -> request.abort(), call.deadline().remainingMillis(time), TimeUnit.MILLISECONDS);
        return HttpResponse.of(request.aggregate().handle((whole, failure) -> {
            timeout.cancel(false);
            return failure == null
                    ? forwarder.forward(call.withBody(new CallBody.Held(whole.content())))
                    : Problem.requestTimeout(call.requestId());
        }));
    }

    private static RequestHeaders forwarded(RequestHeaders received, String requestId, RouteMatch match) {
        RequestHeadersBuilder headers = received.toBuilder();
        CallHeaders.removeHopByHop(headers);
        CallHeaders.removeInternal(headers);
        headers.remove(HttpHeaderNames.EXPECT);
        headers.remove(CallHeaders.TIMEOUT_MILLIS);
        headers.set(CallHeaders.REQUEST_ID, requestId);
        headers.set(CallHeaders.BRAND, match.brand().name());
        match.brand().headers().forEach(headers::set);
        return headers.build();
    }

    /** The body's length if it is known, -1 if not. */
    private static long contentLength(HttpRequest request) {
        long declared = request.headers().contentLength();
        if (declared >= 0) {
            return declared;
        }
        boolean bodiless = request.headers().isEndOfStream()
                || (!request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && request.headers().contentType() == null
                        && switch (request.method()) {
                            case GET, HEAD, OPTIONS, DELETE -> true;
                            default -> false;
                        });
        return bodiless ? 0 : -1;
    }
}
