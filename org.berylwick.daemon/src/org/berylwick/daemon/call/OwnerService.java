package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;
import org.berylwick.node.lib.RequestFingerprint;

/**
 * HTTP service through which other daemons send requests to the backend server of this daemon.
 *
 * <p>Every response states the outcome of the request in the header {@link CallHeaders#OUTCOME}.
 */
public final class OwnerService implements HttpService {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final String instance;
    private final Owner owner;
    private final TimeSource time;

    /**
     * Creates the service.
     *
     * @param instance instance name of this daemon; requests for another instance are refused
     */
    OwnerService(String instance, Owner owner, TimeSource time) {
        this.instance = instance;
        this.owner = owner;
        this.time = time;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        RequestHeaders headers = request.headers();
        String requestId = headers.get(CallHeaders.REQUEST_ID, "");
        // The address of a replaced VM may be reused; the request may be meant for the instance that had it before.
        if (!instance.equals(headers.get(CallHeaders.INSTANCE)) || requestId.isEmpty()) {
            return toHttpResponse(requestId, new Outcome.RefusedNotRun<>(RefusalReason.NO_MEMBER, Optional.empty()));
        }
        Attempt attempt = owner.start(
                toOwnerRequest(requestId, request.subscribeOn(ctx.eventLoop().withoutContext())));
        HttpResponse response =
                HttpResponse.of(attempt.outcome().thenApply(outcome -> toHttpResponse(requestId, outcome)));
        response.whenComplete().whenComplete((done, failure) -> {
            if (failure != null) {
                attempt.cancel().run();
            }
        });
        return response;
    }

    private OwnerRequest toOwnerRequest(String requestId, HttpRequest request) {
        RequestHeaders headers = request.headers();
        TrafficClass trafficClass = switch (headers.get(CallHeaders.TRAFFIC_CLASS, "")) {
            case "CONFIRMATION" -> TrafficClass.CONFIRMATION;
            case "LOOKUP" -> TrafficClass.LOOKUP;
            case "BULK" -> TrafficClass.BULK;
            default -> TrafficClass.READ;
        };
        Deadline headDeadline =
                Deadline.afterMillis(time, headers.getLong(CallHeaders.RESPONSE_START_TIMEOUT_MILLIS, 0));
        long timeoutMillis = headers.getLong(CallHeaders.TIMEOUT_MILLIS, -1);
        long stallMillis = headers.getLong(CallHeaders.STALL_TIMEOUT_MILLIS, -1);
        Optional<Deadline> callerDeadline =
                timeoutMillis < 0 ? Optional.empty() : Optional.of(Deadline.afterMillis(time, timeoutMillis));
        TransferLimit transferLimit = stallMillis < 0
                ? new TransferLimit.CompletionDeadline(callerDeadline.orElse(headDeadline))
                : new TransferLimit.StallTimeout(stallMillis, callerDeadline);
        owner.crashGuard().learn(headers);
        Optional<RequestFingerprint> fingerprint =
                Optional.ofNullable(headers.get(CallHeaders.FINGERPRINT)).flatMap(RequestFingerprint::parse);
        int knownCrashes = headers.getInt(CallHeaders.KNOWN_CRASHES, 0);
        return new OwnerRequest(
                requestId, trafficClass, headDeadline, transferLimit, fingerprint, knownCrashes, request);
    }

    private HttpResponse toHttpResponse(String requestId, Outcome<StreamedResponse> outcome) {
        return switch (outcome) {
            case Outcome.Answered<StreamedResponse>(StreamedResponse answer) -> {
                ResponseHeadersBuilder headers = answer.headers().toBuilder();
                headers.set(CallHeaders.OUTCOME, CallHeaders.OUTCOME_ANSWERED);
                headers.setInt(CallHeaders.LOAD, owner.load());
                owner.crashGuard().tell(headers);
                yield answer.withHeaders(headers.build()).toHttpResponse();
            }
            case Outcome.RefusedNotRun<StreamedResponse>(RefusalReason reason, Optional<Long> retryAfter) -> {
                ResponseHeadersBuilder headers = responseHead(
                        HttpStatus.SERVICE_UNAVAILABLE, CallHeaders.OUTCOME_NOT_RUN, requestId, reason.word());
                retryAfter.ifPresent(millis -> headers.setLong(
                        HttpHeaderNames.RETRY_AFTER, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
                yield HttpResponse.of(headers.build());
            }
            case Outcome.Unknown<StreamedResponse>(String detail) ->
                HttpResponse.of(responseHead(HttpStatus.BAD_GATEWAY, CallHeaders.OUTCOME_UNKNOWN, requestId, detail)
                        .build());
        };
    }

    private ResponseHeadersBuilder responseHead(HttpStatus status, String outcome, String requestId, String reason) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(status)
                .set(CallHeaders.OUTCOME, outcome)
                .set(CallHeaders.REASON, reason)
                .set(CallHeaders.REQUEST_ID, requestId)
                .setInt(CallHeaders.LOAD, owner.load());
        owner.crashGuard().tell(headers);
        return headers;
    }
}
