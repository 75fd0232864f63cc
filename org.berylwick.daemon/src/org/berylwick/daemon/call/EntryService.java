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

/** Accepts requests from callers, determines their brand and route, and forwards them. */
public final class EntryService implements HttpService {
    private static final long MAX_BUFFERED_BODY_BYTES = 64 << 10;

    private static final long STARTING_RETRY_AFTER_MILLIS = 1_000;

    private final InstalledVersion installed;
    private final MembershipTable membership;
    private final IdempotencyKeyForwarder forwarder;
    private final CallMetrics metrics;
    private final TimeSource time;
    private volatile boolean draining;

    EntryService(
            InstalledVersion installed,
            MembershipTable membership,
            IdempotencyKeyForwarder forwarder,
            CallMetrics metrics,
            TimeSource time) {
        this.installed = installed;
        this.membership = membership;
        this.forwarder = forwarder;
        this.metrics = metrics;
        this.time = time;
    }

    /** From now on, closes the connection of each caller after the response to its next request. */
    void drain() {
        draining = true;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        if (draining) {
            // Sends "Connection: close" with HTTP/1.1 and GOAWAY with HTTP/2, so that the caller connects to another
            // daemon before the sockets are closed. A request sent while its socket is being closed could be lost.
            ctx.initiateConnectionShutdown();
        }
        return switch (CallerRequest.parse(request.headers())) {
            case CallerRequest.Malformed(String detail) -> {
                metrics.countRejected();
                yield Problem.badRequest(newRequestId(), detail);
            }
            case CallerRequest.Valid callerRequest -> routeRequest(ctx, request, callerRequest);
        };
    }

    private HttpResponse routeRequest(
            ServiceRequestContext ctx, HttpRequest request, CallerRequest.Valid callerRequest) {
        Snapshot snapshot = installed.snapshot();
        String requestId = callerRequest.requestId().orElseGet(EntryService::newRequestId);
        if (snapshot.id().number() == 0) {
            // Without a configuration version no route is known yet; a 404 would make the caller give up.
            return Problem.notRun(requestId, RefusalReason.STARTING, Optional.of(STARTING_RETRY_AFTER_MILLIS));
        }
        String host = callerRequest.host();
        Optional<RouteMatch> match =
                snapshot.table().find(host, request.method().name(), ctx.path());
        if (match.isEmpty() && installed.isOutdated()) {
            // The route may be part of the newer version.
            return Problem.notRun(requestId, RefusalReason.OUTDATED, Optional.of(STARTING_RETRY_AFTER_MILLIS));
        }
        if (match.isEmpty()) {
            metrics.countRejected();
            return Problem.noRoute(requestId, "no route for " + request.method() + " " + host + ctx.path());
        }
        return forward(ctx, request, requestId, match.get(), callerRequest);
    }

    private static String newRequestId() {
        return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    }

    private HttpResponse forward(
            ServiceRequestContext ctx,
            HttpRequest request,
            String requestId,
            RouteMatch match,
            CallerRequest.Valid callerRequest) {
        long policyTimeoutMillis = match.policy().timeoutMillis();
        Optional<Deadline> callerDeadline = callerRequest.timeoutMillis().map(ms -> Deadline.afterMillis(time, ms));
        Deadline policyDeadline = Deadline.afterMillis(time, policyTimeoutMillis);
        Deadline deadline = callerDeadline.map(policyDeadline::earlier).orElse(policyDeadline);
        TransferLimit limit = match.policy().trafficClass() == TrafficClass.BULK
                ? new TransferLimit.StallTimeout(policyTimeoutMillis, callerDeadline)
                : new TransferLimit.CompletionDeadline(deadline);
        RequestHeaders headers = headersToForward(request.headers(), requestId, match);
        Call call = new Call(
                requestId,
                match,
                membership.view(),
                deadline,
                limit,
                headers,
                new CallBody.Buffered(HttpData.empty()),
                ctx);
        long contentLength = contentLength(request);
        if (contentLength == 0) {
            return forwarder.forward(call);
        }
        if (contentLength < 0 || contentLength > MAX_BUFFERED_BODY_BYTES) {
            return forwarder.forward(call.withBody(CallBody.streamed(ctx, request)));
        }
        return bufferAndForward(request, call);
    }

    /** Buffers a small request body before forwarding, so that it can be sent again. */
    private HttpResponse bufferAndForward(HttpRequest request, Call call) {
        var bodyTimeout = call.context()
                .eventLoop()
                .schedule(() -> request.abort(), call.deadline().remainingMillis(time), TimeUnit.MILLISECONDS);
        return HttpResponse.of(request.aggregate().handle((aggregated, failure) -> {
            bodyTimeout.cancel(false);
            return failure == null
                    ? forwarder.forward(call.withBody(new CallBody.Buffered(aggregated.content())))
                    : Problem.requestTimeout(call.requestId());
        }));
    }

    private static RequestHeaders headersToForward(RequestHeaders receivedHeaders, String requestId, RouteMatch match) {
        RequestHeadersBuilder headers = receivedHeaders.toBuilder();
        CallHeaders.removeHopByHop(headers);
        CallHeaders.removeInternal(headers);
        headers.remove(HttpHeaderNames.EXPECT);
        headers.remove(CallHeaders.TIMEOUT_MILLIS);
        headers.set(CallHeaders.REQUEST_ID, requestId);
        headers.set(CallHeaders.BRAND, match.brand().name());
        match.brand().headers().forEach(headers::set);
        return headers.build();
    }

    /** Returns the length of the request body, or -1 if it is unknown. */
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
