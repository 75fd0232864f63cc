package org.berylwick.daemon.call;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/**
 * Takes calls for the own backend server from other daemons, admits them to its slots and streams the answer back.
 *
 * <p>Every response says in {@link CallHeaders#OUTCOME} what is known. {@code not-run} is said only before a byte was
 * written to the backend server, or when the backend server itself said that it shed the request.
 */
public final class OwnerService implements HttpService {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final String instance;
    private final SlotLimiter limiter;
    private final BackendServerClient server;
    private final Supplier<Member.State> state;
    private final TimeSource time;

    /**
     * The service of one daemon.
     *
     * @param instance the own instance name
     * @param state whether the backend server takes requests
     */
    OwnerService(
            String instance,
            SlotLimiter limiter,
            BackendServerClient server,
            Supplier<Member.State> state,
            TimeSource time) {
        this.instance = instance;
        this.limiter = limiter;
        this.server = server;
        this.state = state;
        this.time = time;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        RequestHeaders headers = request.headers();
        if (!instance.equals(headers.get(CallHeaders.INSTANCE))) {
            return notRun(RefusalReason.NO_MEMBER);
        }
        TrafficClass trafficClass = TrafficClass.valueOf(
                headers.get(CallHeaders.TRAFFIC_CLASS, "READ").toUpperCase(Locale.ROOT));
        Deadline deadline = Deadline.afterMillis(time, headers.getLong(CallHeaders.TIMEOUT_MILLIS, 0));
        return HttpResponse.of(admit(ctx, request, trafficClass, deadline));
    }

    private CompletableFuture<HttpResponse> admit(
            ServiceRequestContext ctx, HttpRequest request, TrafficClass trafficClass, Deadline deadline) {
        switch (state.get()) {
            case STARTING -> {
                return CompletableFuture.completedFuture(notRun(RefusalReason.STARTING));
            }
            case LEAVING, GONE -> {
                return CompletableFuture.completedFuture(notRun(RefusalReason.LEAVING));
            }
            case UP, SUSPECT -> {}
            default -> throw new IllegalStateException("no such state: " + state.get());
        }
        CompletableFuture<Admission> asked = limiter.acquire(trafficClass, deadline);
        // Without this a request that its sender gave up keeps its place in the queue, and later takes a slot for
        // an answer that nobody reads.
        ctx.whenRequestCancelling().thenRun(() -> asked.cancel(false));
        return asked.thenCompose(admission -> switch (admission) {
            case Admission.Refused(RefusalReason reason, long retryAfterMillis) ->
                CompletableFuture.completedFuture(notRun(reason, retryAfterMillis));
            case Admission.Admitted(SlotLimiter.Permit permit) -> run(request, deadline, permit);
        });
    }

    private CompletableFuture<HttpResponse> run(HttpRequest request, Deadline deadline, SlotLimiter.Permit permit) {
        RequestHeadersBuilder headers = request.headers().toBuilder();
        CallHeaders.removeInternal(headers);
        headers.setLong(CallHeaders.TIMEOUT_MILLIS, deadline.remainingMillis(time));
        HttpResponse response = server.execute(request.withHeaders(headers), deadline);
        response.whenComplete().whenComplete((done, failure) -> permit.close());
        SplitHttpResponse split = response.split();
        return split.headers()
                .handle((answer, failure) -> failure == null ? answered(answer, split, permit) : failed(failure));
    }

    private HttpResponse answered(ResponseHeaders answer, SplitHttpResponse split, SlotLimiter.Permit permit) {
        if (answer.status().equals(HttpStatus.SERVICE_UNAVAILABLE) && answer.contains(CallHeaders.SHED)) {
            permit.shed();
            split.body().abort();
            return notRun(RefusalReason.SHED);
        }
        ResponseHeadersBuilder headers = answer.toBuilder();
        CallHeaders.removeHopByHop(headers);
        CallHeaders.removeInternal(headers);
        headers.set(CallHeaders.OUTCOME, CallHeaders.OUTCOME_ANSWERED);
        headers.setInt(CallHeaders.LOAD, limiter.inUse() + limiter.waiting());
        return HttpResponse.of(headers.build(), split.body());
    }

    private HttpResponse failed(Throwable failure) {
        if (failure instanceof UnprocessedRequestException) {
            return notRun(RefusalReason.SERVER_UNREACHABLE);
        }
        ResponseHeaders headers = ResponseHeaders.builder(HttpStatus.BAD_GATEWAY)
                .set(CallHeaders.OUTCOME, CallHeaders.OUTCOME_UNKNOWN)
                .set(CallHeaders.REASON, failure.getClass().getSimpleName())
                .build();
        return HttpResponse.of(headers);
    }

    private HttpResponse notRun(RefusalReason reason) {
        return notRun(reason, RETRY_AFTER_MILLIS);
    }

    private HttpResponse notRun(RefusalReason reason, long retryAfterMillis) {
        ResponseHeaders headers = ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                .set(CallHeaders.OUTCOME, CallHeaders.OUTCOME_NOT_RUN)
                .set(CallHeaders.REASON, reason.word())
                .setInt(CallHeaders.LOAD, limiter.inUse() + limiter.waiting())
                .setLong(HttpHeaderNames.RETRY_AFTER, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
                .build();
        return HttpResponse.of(headers);
    }
}
