package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Optional;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.RefusalReason;

/** Error responses that a daemon itself sends to callers, as problem details in JSON. */
final class Problem {
    private static final MediaType PROBLEM_JSON_TYPE = MediaType.create("application", "problem+json");
    private static final long MILLIS_PER_SECOND = 1_000;

    private Problem() {}

    private record Body(String type, int status, String detail, String requestId) {}

    /** No brand or route matches the request. */
    static HttpResponse noRoute(String requestId, String detail) {
        return of(HttpStatus.NOT_FOUND, "no-route", detail, requestId, Optional.empty());
    }

    /** The request is invalid. */
    static HttpResponse badRequest(String requestId, String detail) {
        return of(HttpStatus.BAD_REQUEST, "bad-request", detail, requestId, Optional.empty());
    }

    /** The request was not run; {@code Retry-After} is set if a retry delay is given. */
    static HttpResponse notRun(String requestId, RefusalReason reason, Optional<Long> retryAfterMillis) {
        HttpResponse problem =
                of(HttpStatus.SERVICE_UNAVAILABLE, "not-run", reason.word(), requestId, retryAfterMillis);
        return withOutcome(problem, CallHeaders.OUTCOME_NOT_RUN);
    }

    /** The request body did not arrive completely before the deadline. */
    static HttpResponse requestTimeout(String requestId) {
        return of(
                HttpStatus.REQUEST_TIMEOUT, "request-timeout", "the body did not arrive", requestId, Optional.empty());
    }

    /**
     * The request may have run.
     *
     * @param timedOut whether the deadline passed, which is reported as 504 instead of 502
     * @param retrySafe whether the caller may safely send the request again; only then {@code Retry-After} is set
     */
    static HttpResponse unknown(String requestId, boolean timedOut, boolean retrySafe, String detail) {
        HttpStatus status = timedOut ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY;
        Optional<Long> retryAfter = retrySafe ? Optional.of(MILLIS_PER_SECOND) : Optional.empty();
        HttpResponse problem = of(status, "outcome-unknown", detail, requestId, retryAfter);
        return withOutcome(problem, CallHeaders.OUTCOME_UNKNOWN);
    }

    /**
     * The request was not run, because its key is already used; {@code Retry-After} is set if a response may follow.
     */
    static HttpResponse keyConflict(String requestId, String type, String detail, Optional<Long> retryAfterMillis) {
        return of(HttpStatus.CONFLICT, type, detail, requestId, retryAfterMillis);
    }

    /** The request was not run, because its key was used with a different request. */
    static HttpResponse keyReused(String requestId, String detail) {
        return of(HttpStatus.UNPROCESSABLE_ENTITY, "key-reused", detail, requestId, Optional.empty());
    }

    /**
     * Adds the outcome as an internal header for {@link KeyedResponseRecorder}; backend servers cannot set this header.
     */
    private static HttpResponse withOutcome(HttpResponse problem, String outcome) {
        return problem.mapHeaders(
                h -> h.toBuilder().set(CallHeaders.OUTCOME, outcome).build());
    }

    private static HttpResponse of(
            HttpStatus status, String type, String detail, String requestId, Optional<Long> retryAfterMillis) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(status).contentType(PROBLEM_JSON_TYPE).set(CallHeaders.REQUEST_ID, requestId);
        // The header has whole seconds; rounding up keeps callers from retrying too early.
        retryAfterMillis.ifPresent(ms -> headers.setLong(
                HttpHeaderNames.RETRY_AFTER, Math.max(1, (ms + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        byte[] body = ConfigurationCodec.encode(new Body(type, status.code(), detail, requestId));
        return HttpResponse.of(headers.build(), HttpData.wrap(body));
    }
}
