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

/** Sends attempts to the daemons of other members and reads from their responses what is known. */
final class PeerSender {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /** How much earlier the owner gives up than the entry, so that its true refusal still arrives. */
    private static final long MAX_HOP_MARGIN_MILLIS = 5;

    private static final int HOP_MARGIN_DIVISOR = 10;

    private final PeerClients peerClients;
    private final TimeSource time;

    PeerSender(PeerClients peers, TimeSource time) {
        this.peerClients = peers;
        this.time = time;
    }

    /**
     * Sends one attempt.
     *
     * @param load takes in what the reply reports, and the end of the response
     * @param attemptMillis within which the head of the answer must be there
     */
    Attempt send(Call call, Member member, PeerLoads.Attempt load, long attemptMillis) {
        RequestHeadersBuilder headers = call.headers().toBuilder();
        headers.set(CallHeaders.INSTANCE, member.instance());
        headers.set(
                CallHeaders.TRAFFIC_CLASS, call.match().policy().trafficClass().name());
        headers.setLong(CallHeaders.HEAD_MILLIS, attemptMillis - Math.min(MAX_HOP_MARGIN_MILLIS, attemptMillis / HOP_MARGIN_DIVISOR));
        headers.remove(CallHeaders.TIMEOUT_MILLIS);
        switch (call.limit()) {
            case TransferLimit.CompletionDeadline(Deadline by) ->
                headers.setLong(CallHeaders.TIMEOUT_MILLIS, by.remainingMillis(time));
            case TransferLimit.StallTimeout(long stallMillis, Optional<Deadline> callerBy) -> {
                headers.setLong(CallHeaders.STALL_MILLIS, stallMillis);
                callerBy.ifPresent(by -> headers.setLong(CallHeaders.TIMEOUT_MILLIS, by.remainingMillis(time)));
            }
        }
        ExchangeTimeout pace = new ExchangeTimeout(call.limit(), time);
        Exchange exchange =
                peerClients.execute(member.address(), pace.trackProgress(call.newRequest(headers.build())), attemptMillis);
        pace.start(exchange);
        exchange.response().whenComplete().whenComplete((done, failure) -> load.close());
        SplitHttpResponse split = exchange.response().split();
        CompletableFuture<Outcome<Answer>> outcome = split.headers()
                .handle((answer, failure) ->
                        failure == null ? outcomeOf(call, load, answer, split, exchange, pace) : outcomeOf(failure));
        return new Attempt(outcome, () -> {
            if (!outcome.isDone()) {
                exchange.response().abort();
            }
        });
    }

    private Outcome<Answer> outcomeOf(
            Call call,
            PeerLoads.Attempt load,
            ResponseHeaders received,
            SplitHttpResponse split,
            Exchange exchange,
            ExchangeTimeout pace) {
        load.reportLoad(received.getInt(CallHeaders.LOAD, 0));
        String answered = received.get(CallHeaders.REQUEST_ID, "");
        if (!answered.equals(call.requestId()) && received.contains(CallHeaders.OUTCOME)) {
            split.body().abort();
            exchange.closeConnection();
            return new Outcome.Unknown<>("the answer was another request's");
        }
        switch (received.get(CallHeaders.OUTCOME, "")) {
            case CallHeaders.OUTCOME_ANSWERED -> {
                ResponseHeadersBuilder headers = received.toBuilder();
                CallHeaders.removeHopByHop(headers);
                CallHeaders.removeInternal(headers);
                return new Outcome.Answered<>(new Answer(
                        headers.build(),
                        pace.onResponseHead(ContentLengthCheck.wrap(call.headers().method(), received, split.body())),
                        split.trailers()));
            }
            case CallHeaders.OUTCOME_NOT_RUN -> {
                split.body().abort();
                RefusalReason reason = RefusalReason.fromWord(received.get(CallHeaders.REASON, ""))
                        .orElse(RefusalReason.NO_MEMBER);
                long seconds = received.getLong(HttpHeaderNames.RETRY_AFTER, 1);
                return new Outcome.RefusedNotRun<>(reason, Optional.of(seconds * MILLIS_PER_SECOND));
            }
            default -> {
                split.body().abort();
                return new Outcome.Unknown<>(
                        received.get(CallHeaders.REASON, received.status().toString()));
            }
        }
    }

    private static Outcome<Answer> outcomeOf(Throwable failure) {
        if (Exchange.isUnprocessed(failure)) {
            return new Outcome.RefusedNotRun<>(
                    RefusalReason.DAEMON_UNREACHABLE, Optional.of(DEFAULT_RETRY_AFTER_MILLIS));
        }
        return new Outcome.Unknown<>(Exchange.describe(failure));
    }
}
