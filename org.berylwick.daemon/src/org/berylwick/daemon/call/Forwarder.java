package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.lib.Member;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/** Sends a call to members one after another until it is answered or must be given up. */
final class Forwarder {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final PeerClients peers;
    private final MemberChooser chooser;
    private final PeerLoads loads;
    private final TimeSource time;

    Forwarder(PeerClients peers, MemberChooser chooser, PeerLoads loads, TimeSource time) {
        this.peers = peers;
        this.chooser = chooser;
        this.loads = loads;
        this.time = time;
    }

    /** Runs the call; the response is the final answer. */
    HttpResponse forward(Call call) {
        return HttpResponse.of(attempt(call, 1, Set.of()));
    }

    private CompletableFuture<HttpResponse> attempt(Call call, int number, Set<String> tried) {
        Optional<Member> member = chooser.choose(call.members(), call.match(), tried);
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Problem.notRun(call.requestId(), RefusalReason.NO_MEMBER, Optional.of(DEFAULT_RETRY_AFTER_MILLIS)));
        }
        return send(call, member.get()).thenCompose(outcome -> switch (outcome) {
            case Outcome.Answered<HttpResponse>(HttpResponse answer) -> CompletableFuture.completedFuture(answer);
            case Outcome.RefusedNotRun<HttpResponse>(RefusalReason reason, Optional<Long> retryAfter) ->
                mayRetry(call, number, true)
                        ? attempt(call, number + 1, plus(tried, member.get()))
                        : CompletableFuture.completedFuture(Problem.notRun(call.requestId(), reason, retryAfter));
            case Outcome.Unknown<HttpResponse>(String detail) ->
                mayRetry(call, number, call.match().policy().idempotent())
                        ? attempt(call, number + 1, plus(tried, member.get()))
                        : CompletableFuture.completedFuture(Problem.unknown(
                                call.requestId(), call.deadline().isPast(time), detail));
        });
    }

    private boolean mayRetry(Call call, int number, boolean harmless) {
        return harmless
                && call.replayable()
                && number < call.match().policy().maxAttempts()
                && !call.deadline().isPast(time);
    }

    private static Set<String> plus(Set<String> tried, Member member) {
        Set<String> more = new HashSet<>(tried);
        more.add(member.instance());
        return more;
    }

    private CompletableFuture<Outcome<HttpResponse>> send(Call call, Member member) {
        RequestHeadersBuilder headers = call.request().headers().toBuilder();
        headers.set(CallHeaders.INSTANCE, member.instance());
        headers.set(
                CallHeaders.TRAFFIC_CLASS, call.match().policy().trafficClass().name());
        headers.setLong(CallHeaders.TIMEOUT_MILLIS, call.deadline().remainingMillis(time));
        HttpRequest request = call.request().withHeaders(headers);
        loads.begin(member);
        HttpResponse response = peers.execute(member.address(), request, call.deadline());
        response.whenComplete().whenComplete((done, failure) -> loads.end(member));
        SplitHttpResponse split = response.split();
        return split.headers()
                .handle((answer, failure) ->
                        failure == null ? outcomeOf(call, member, answer, split) : outcomeOf(failure));
    }

    private Outcome<HttpResponse> outcomeOf(Call call, Member member, ResponseHeaders answer, SplitHttpResponse split) {
        loads.report(member, answer.getInt(CallHeaders.LOAD, 0));
        switch (answer.get(CallHeaders.OUTCOME, "")) {
            case CallHeaders.OUTCOME_ANSWERED -> {
                ResponseHeadersBuilder headers = answer.toBuilder();
                CallHeaders.removeHopByHop(headers);
                CallHeaders.removeInternal(headers);
                headers.set(CallHeaders.REQUEST_ID, call.requestId());
                return new Outcome.Answered<>(HttpResponse.of(headers.build(), split.body()));
            }
            case CallHeaders.OUTCOME_NOT_RUN -> {
                split.body().abort();
                RefusalReason reason = RefusalReason.fromWord(answer.get(CallHeaders.REASON, ""))
                        .orElse(RefusalReason.NO_MEMBER);
                long seconds = answer.getLong(HttpHeaderNames.RETRY_AFTER, 1);
                return new Outcome.RefusedNotRun<>(reason, Optional.of(seconds * MILLIS_PER_SECOND));
            }
            default -> {
                split.body().abort();
                return new Outcome.Unknown<>(
                        answer.get(CallHeaders.REASON, answer.status().toString()));
            }
        }
    }

    private static Outcome<HttpResponse> outcomeOf(Throwable failure) {
        if (failure instanceof UnprocessedRequestException) {
            return new Outcome.RefusedNotRun<>(
                    RefusalReason.DAEMON_UNREACHABLE, Optional.of(DEFAULT_RETRY_AFTER_MILLIS));
        }
        String detail = failure instanceof ResponseTimeoutException ? "no answer by the deadline" : failure.toString();
        return new Outcome.Unknown<>(detail);
    }
}
