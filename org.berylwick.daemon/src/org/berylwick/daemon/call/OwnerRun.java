package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;

/** Runs one request at the owner: waits for a slot, sends the request and determines its outcome. */
final class OwnerRun {
    private static final EventLog EVENTS = new EventLog(OwnerRun.class);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Owner owner;
    private final OwnerRequest request;
    private final ExchangeTimeout exchangeTimeout;
    private final CompletableFuture<Outcome<StreamedResponse>> outcome = new CompletableFuture<>();
    private volatile boolean cancelled;
    /** Crashes of the request in succession that were known when it was sent. */
    private volatile int knownCrashes;

    private volatile Exchange exchange;
    private volatile CompletableFuture<Admission> pendingAdmission;

    OwnerRun(Owner owner, OwnerRequest request) {
        this.owner = owner;
        this.request = request;
        this.exchangeTimeout = new ExchangeTimeout(request.transferLimit(), owner.time());
    }

    CompletableFuture<Outcome<StreamedResponse>> outcome() {
        return outcome;
    }

    /** Requests a slot and sends the request when the slot is granted. */
    void start() {
        Optional<RefusalReason> refusalReason = owner.refusalReason(request.headDeadline());
        if (refusalReason.isPresent()) {
            refuse(refusalReason.get());
            return;
        }
        Optional<Long> holdMillis = owner.crashGuard().holdMillis(request.fingerprint());
        if (holdMillis.isPresent()) {
            refuse(RefusalReason.QUARANTINED, holdMillis.get());
            return;
        }
        pendingAdmission = owner.limiter().acquire(request.trafficClass(), request.headDeadline());
        pendingAdmission.whenComplete((admission, failure) -> {
            if (failure != null) {
                refuse(RefusalReason.DEADLINE);
                return;
            }
            switch (admission) {
                case Admission.Refused(RefusalReason reason, long retryAfterMillis) -> refuse(reason, retryAfterMillis);
                case Admission.Admitted(SlotLimiter.Permit permit) -> onAdmitted(permit);
            }
        });
    }

    /** Cancels the request because its response is no longer needed. */
    void cancel() {
        cancelled = true;
        CompletableFuture<Admission> currentAdmission = pendingAdmission;
        if (currentAdmission != null) {
            // Otherwise the request would stay in the queue and later use a slot for a response that nobody reads.
            currentAdmission.cancel(false);
        }
        Exchange currentExchange = exchange;
        if (currentExchange != null && !outcome.isDone()) {
            currentExchange.response().abort();
        }
    }

    private void onAdmitted(SlotLimiter.Permit permit) {
        // While queued, the request may have been cancelled, or its deadline passed, or the server started to leave.
        Optional<RefusalReason> refusalReason =
                cancelled ? Optional.of(RefusalReason.DEADLINE) : owner.refusalReason(request.headDeadline());
        if (refusalReason.isPresent()) {
            permit.closeUnused();
            refuse(refusalReason.get());
            return;
        }
        Optional<Long> holdMillis = owner.crashGuard().holdMillis(request.fingerprint());
        if (holdMillis.isPresent()) {
            permit.closeUnused();
            refuse(RefusalReason.QUARANTINED, holdMillis.get());
            return;
        }
        knownCrashes = Math.max(request.knownCrashes(), owner.crashGuard().knownCrashes(request.fingerprint()));
        owner.checkSendAllowed(request.requestId());
        owner.metrics().callStarted();
        Exchange newExchange = owner.backendClient()
                .execute(
                        exchangeTimeout.trackProgress(newBackendRequest()),
                        request.headDeadline().remainingMillis(owner.time()));
        exchangeTimeout.start(newExchange);
        newExchange.response().whenComplete().whenComplete((done, failure) -> {
            // Runs on the event loop of the connection after the client library has returned the connection to its
            // pool. If the slot were released earlier, its next request would find no idle connection and open another.
            newExchange.context().eventLoop().execute(permit::close);
            owner.metrics().callEnded();
        });
        exchange = newExchange;
        SplitHttpResponse split = newExchange.response().split();
        if (cancelled) {
            newExchange.response().abort();
        }
        split.headers().whenComplete((headers, failure) -> {
            if (failure == null) {
                onResponseHead(headers, split, permit);
            } else {
                onFailure(failure);
            }
        });
    }

    private HttpRequest newBackendRequest() {
        RequestHeadersBuilder headers = request.httpRequest().headers().toBuilder();
        CallHeaders.removeInternal(headers);
        Optional<Deadline> callerDeadline = switch (request.transferLimit()) {
            case TransferLimit.CompletionDeadline(Deadline completionDeadline) ->
                Optional.of(completionDeadline.earlier(request.headDeadline()));
            case TransferLimit.StallTimeout(long stallMillis, Optional<Deadline> progressCallerDeadline) ->
                progressCallerDeadline;
        };
        headers.remove(CallHeaders.TIMEOUT_MILLIS);
        callerDeadline.ifPresent(
                deadline -> headers.setLong(CallHeaders.TIMEOUT_MILLIS, deadline.remainingMillis(owner.time())));
        return request.httpRequest().withHeaders(headers);
    }

    private void onResponseHead(ResponseHeaders responseHeaders, SplitHttpResponse split, SlotLimiter.Permit permit) {
        owner.crashGuard().onBackendResponse();
        if (!exchange.isAnsweredBy(responseHeaders, request.requestId())) {
            // Responses and requests of this connection no longer match; every later response would be wrong as well.
            EVENTS.log(CallEvent.CROSSED_ANSWER, request.requestId(), responseHeaders.getAll(CallHeaders.REQUEST_ID));
            owner.metrics().countMismatched();
            split.body().abort();
            exchange.closeConnection();
            outcome.complete(new Outcome.Unknown<>("the answer may be another request's"));
            return;
        }
        owner.onResponseHead(responseHeaders);
        if (responseHeaders.status().equals(HttpStatus.SERVICE_UNAVAILABLE)
                && responseHeaders.contains(CallHeaders.SHED)) {
            permit.closeAfterShed();
            exchange.onShed(request.requestId());
            // The connection can be reused only after the body was read to its end.
            split.body().subscribe();
            refuse(RefusalReason.SHED);
            return;
        }
        request.fingerprint()
                .ifPresent(f -> exchange.response()
                        .whenComplete()
                        .thenRun(() -> owner.crashGuard().onCompleted(f)));
        ResponseHeadersBuilder headers = responseHeaders.toBuilder();
        CallHeaders.removeHopByHop(headers);
        CallHeaders.removeInternal(headers);
        headers.remove(CallHeaders.SHED);
        headers.set(CallHeaders.REQUEST_ID, request.requestId());
        outcome.complete(new Outcome.Answered<>(new StreamedResponse(
                headers.build(),
                exchangeTimeout.onResponseHead(
                        ContentLengthCheck.wrap(request.httpRequest().method(), responseHeaders, split.body())),
                split.trailers())));
    }

    private void onFailure(Throwable failure) {
        // Both conditions are required: the client library reports the request as unprocessed, and its head was never
        // passed to the connection. With HTTP/1.1 a request whose head was passed on may have been run.
        boolean headSent = exchange.isHeadSent();
        if (Exchange.isUnprocessed(failure) && !headSent) {
            owner.checkNotSent(request.requestId(), exchange.isHeadSent());
            boolean deadlinePassed = request.headDeadline().isPast(owner.time());
            refuse(deadlinePassed ? RefusalReason.DEADLINE : RefusalReason.SERVER_UNREACHABLE);
            return;
        }
        Outcome<StreamedResponse> unknown = new Outcome.Unknown<>(Exchange.describe(failure));
        if (cancelled || failure instanceof ResponseTimeoutException) {
            outcome.complete(unknown);
            return;
        }
        // The entry must know of a crash before it decides on a retry.
        owner.crashGuard().checkExit().whenComplete((exited, checkFailure) -> {
            if (checkFailure == null && exited && !owner.isLeaving()) {
                owner.crashGuard().onCrashed(request.fingerprint(), knownCrashes);
            }
            outcome.complete(unknown);
        });
    }

    private void refuse(RefusalReason reason) {
        refuse(reason, RETRY_AFTER_MILLIS);
    }

    private void refuse(RefusalReason reason, long retryAfterMillis) {
        outcome.complete(new Outcome.RefusedNotRun<>(reason, Optional.of(retryAfterMillis)));
    }
}
