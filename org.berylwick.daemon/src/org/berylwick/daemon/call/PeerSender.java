package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.routing.PeerLoads;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/** Sends attempts to the daemons of other members and determines the outcome from their responses. */
final class PeerSender {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Maximum time by which the head deadline of the owner is earlier than that of the entry, so that a refusal by the
     * owner still arrives in time. For short timeouts it is the timeout divided by {@link #HOP_MARGIN_DIVISOR}.
     */
    private static final long MAX_HOP_MARGIN_MILLIS = 5;

    private static final int HOP_MARGIN_DIVISOR = 10;

    private final PeerClients peerClients;
    private final TimeSource time;
    private final CrashGuard crashGuard;

    PeerSender(PeerClients peerClients, TimeSource time, CrashGuard crashGuard) {
        this.peerClients = peerClients;
        this.time = time;
        this.crashGuard = crashGuard;
    }

    /**
     * Sends one attempt.
     *
     * @param loadTracker receives the load reported by the owner; closed when the response ends
     * @param headTimeoutMillis time within which the head of the response must arrive
     */
    Attempt send(Call call, Member member, PeerLoads.Attempt loadTracker, long headTimeoutMillis) {
        RequestHeadersBuilder headers = call.headers().toBuilder();
        headers.set(CallHeaders.INSTANCE, member.instance());
        headers.set(
                CallHeaders.TRAFFIC_CLASS, call.match().policy().trafficClass().name());
        headers.setLong(
                CallHeaders.RESPONSE_START_TIMEOUT_MILLIS,
                headTimeoutMillis - Math.min(MAX_HOP_MARGIN_MILLIS, headTimeoutMillis / HOP_MARGIN_DIVISOR));
        headers.remove(CallHeaders.TIMEOUT_MILLIS);
        call.fingerprint().ifPresent(f -> headers.set(CallHeaders.FINGERPRINT, f.encode()));
        int knownCrashes = crashGuard.knownCrashes(call.fingerprint());
        if (knownCrashes > 0) {
            headers.setInt(CallHeaders.KNOWN_CRASHES, knownCrashes);
        }
        crashGuard.tell(headers);
        switch (call.limit()) {
            case TransferLimit.CompletionDeadline(Deadline deadline) ->
                headers.setLong(CallHeaders.TIMEOUT_MILLIS, deadline.remainingMillis(time));
            case TransferLimit.StallTimeout(long stallMillis, Optional<Deadline> callerDeadline) -> {
                headers.setLong(CallHeaders.STALL_TIMEOUT_MILLIS, stallMillis);
                callerDeadline.ifPresent(
                        deadline -> headers.setLong(CallHeaders.TIMEOUT_MILLIS, deadline.remainingMillis(time)));
            }
        }
        ExchangeTimeout exchangeTimeout = new ExchangeTimeout(call.limit(), time);
        Exchange exchange = peerClients.execute(
                member.address(), exchangeTimeout.trackProgress(call.newRequest(headers.build())), headTimeoutMillis);
        exchangeTimeout.start(exchange);
        exchange.response().whenComplete().whenComplete((done, failure) -> loadTracker.close());
        SplitHttpResponse split = exchange.response().split();
        CompletableFuture<Outcome<StreamedResponse>> outcome = split.headers()
                .handle((responseHeaders, failure) -> failure == null
                        ? outcomeOf(call, loadTracker, responseHeaders, split, exchange, exchangeTimeout)
                        : outcomeOf(failure));
        return new Attempt(outcome, () -> {
            if (!outcome.isDone()) {
                exchange.response().abort();
            }
        });
    }

    private Outcome<StreamedResponse> outcomeOf(
            Call call,
            PeerLoads.Attempt loadTracker,
            ResponseHeaders responseHeaders,
            SplitHttpResponse split,
            Exchange exchange,
            ExchangeTimeout exchangeTimeout) {
        crashGuard.learn(responseHeaders);
        loadTracker.reportLoad(responseHeaders.getInt(CallHeaders.LOAD, 0));
        String answeredRequestId = responseHeaders.get(CallHeaders.REQUEST_ID, "");
        if (!answeredRequestId.equals(call.requestId()) && responseHeaders.contains(CallHeaders.OUTCOME)) {
            split.body().abort();
            exchange.closeConnection();
            return new Outcome.Unknown<>("the answer was another request's");
        }
        switch (responseHeaders.get(CallHeaders.OUTCOME, "")) {
            case CallHeaders.OUTCOME_ANSWERED -> {
                ResponseHeadersBuilder headers = responseHeaders.toBuilder();
                CallHeaders.removeHopByHop(headers);
                CallHeaders.removeInternal(headers);
                return new Outcome.Answered<>(new StreamedResponse(
                        headers.build(),
                        exchangeTimeout.onResponseHead(
                                ContentLengthCheck.wrap(call.headers().method(), responseHeaders, split.body())),
                        split.trailers()));
            }
            case CallHeaders.OUTCOME_NOT_RUN -> {
                split.body().abort();
                RefusalReason reason = RefusalReason.fromWord(responseHeaders.get(CallHeaders.REASON, ""))
                        .orElse(RefusalReason.NO_MEMBER);
                long retryAfterSeconds = responseHeaders.getLong(HttpHeaderNames.RETRY_AFTER, 1);
                return new Outcome.RefusedNotRun<>(reason, Optional.of(retryAfterSeconds * MILLIS_PER_SECOND));
            }
            default -> {
                split.body().abort();
                return new Outcome.Unknown<>(responseHeaders.get(
                        CallHeaders.REASON, responseHeaders.status().toString()));
            }
        }
    }

    private static Outcome<StreamedResponse> outcomeOf(Throwable failure) {
        if (Exchange.isUnprocessed(failure)) {
            return new Outcome.RefusedNotRun<>(
                    RefusalReason.DAEMON_UNREACHABLE, Optional.of(DEFAULT_RETRY_AFTER_MILLIS));
        }
        return new Outcome.Unknown<>(Exchange.describe(failure));
    }
}
