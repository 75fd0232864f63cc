package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.retry.AttemptHistory;
import org.berylwick.internal.retry.RetryRule;
import org.berylwick.internal.retry.RetryRule.Verdict;
import org.berylwick.internal.routing.MemberChoice;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.Outcome;

/**
 * A response whose remainder is requested in another attempt if its body fails midway.
 *
 * <p>Applies only to idempotent GET requests whose full response has a strong validator and a known length. The
 * remainder is requested with {@code Range} and, for that validator, {@code If-Range}, so that parts of two different
 * representations are never combined. If the remainder is not available, the body fails with the original error.
 */
final class ResumableAnswer {
    private static final EventLog EVENTS = new EventLog(ResumableAnswer.class);
    private static final String WEAK_PREFIX = "W/";

    private final Forwarder forwarder;
    private final Call call;
    private final String validator;
    private final long contentLength;
    private long deliveredBytes;
    private Member servingMember;
    private AttemptHistory history = AttemptHistory.NONE;
    private Attempt currentAttempt;

    private ResumableAnswer(
            Forwarder forwarder, Call call, String validator, long contentLength, Member servingMember) {
        this.forwarder = forwarder;
        this.call = call;
        this.validator = validator;
        this.contentLength = contentLength;
        this.servingMember = servingMember;
    }

    /** Returns the response with a resumable body if it meets the conditions, otherwise unchanged. */
    static StreamedResponse of(Forwarder forwarder, Call call, StreamedResponse response, Member servingMember) {
        ResponseHeaders headers = response.headers();
        String validator = headers.get(HttpHeaderNames.ETAG, "");
        boolean resumable = call.match().policy().idempotent()
                && call.isReplayable()
                && call.headers().method() == HttpMethod.GET
                && headers.status().equals(HttpStatus.OK)
                && headers.contentLength() > 0
                && !validator.isEmpty()
                && !validator.startsWith(WEAK_PREFIX);
        if (!resumable) {
            return response;
        }
        ResumableAnswer resumableAnswer =
                new ResumableAnswer(forwarder, call, validator, headers.contentLength(), servingMember);
        return response.withBody(resumableAnswer.resumeOnFailure(response.body()));
    }

    private StreamMessage<HttpData> resumeOnFailure(StreamMessage<HttpData> body) {
        return body.peek(data -> deliveredBytes += data.length()).recoverAndResume(this::resume);
    }

    private StreamMessage<HttpData> resume(Throwable cause) {
        CompletableFuture<StreamMessage<HttpData>> remainder = new CompletableFuture<>();
        StreamMessage<HttpData> deferred = StreamMessage.of(remainder);
        deferred.whenComplete().whenComplete((ignored, failure) -> {
            if (failure != null && currentAttempt != null) {
                currentAttempt.cancel().run();
            }
        });
        history = history.plus(new Outcome.Unknown<StreamedResponse>("response truncated"));
        requestRemainder(cause, remainder);
        return deferred;
    }

    private void requestRemainder(Throwable cause, CompletableFuture<StreamMessage<HttpData>> remainder) {
        RetryRule rule = new RetryRule(true, true, call.match().policy().maxAttempts(), responseStartDeadline());
        Verdict verdict = call.isCallerDisconnected()
                ? Verdict.TOO_LATE
                : rule.decide(history, forwarder.retryBudgetFor(call), forwarder.time());
        Optional<Member> member = verdict == Verdict.RETRY ? chooseMember() : Optional.empty();
        if (member.isEmpty()) {
            remainder.complete(StreamMessage.aborted(cause));
            return;
        }
        RequestHeadersBuilder headers = call.headers().toBuilder();
        headers.set(HttpHeaderNames.RANGE, "bytes=" + deliveredBytes + "-");
        headers.set(HttpHeaderNames.IF_RANGE, validator);
        servingMember = member.get();
        currentAttempt = forwarder.send(
                call.withHeaders(headers.build()), servingMember, rule.attemptTimeoutMillis(history, forwarder.time()));
        currentAttempt.outcome().thenAccept(outcome -> {
            switch (outcome) {
                case Outcome.Answered<StreamedResponse>(StreamedResponse response) ->
                    appendRemainder(response, cause, remainder);
                case Outcome.RefusedNotRun<StreamedResponse> refused -> {
                    history = history.plus(refused);
                    requestRemainder(cause, remainder);
                }
                case Outcome.Unknown<StreamedResponse> unknown -> {
                    history = history.plus(unknown);
                    requestRemainder(cause, remainder);
                }
            }
        });
    }

    private void appendRemainder(
            StreamedResponse response, Throwable cause, CompletableFuture<StreamMessage<HttpData>> remainder) {
        ResponseHeaders headers = response.headers();
        String expectedContentRange = "bytes " + deliveredBytes + "-" + (contentLength - 1) + "/" + contentLength;
        boolean rangeMatches = headers.status().equals(HttpStatus.PARTIAL_CONTENT)
                && validator.equals(headers.get(HttpHeaderNames.ETAG))
                && expectedContentRange.equals(headers.get(HttpHeaderNames.CONTENT_RANGE));
        if (!rangeMatches) {
            response.body().abort();
            remainder.complete(StreamMessage.aborted(cause));
            return;
        }
        forwarder.metrics().countResumed();
        EVENTS.log(CallEvent.ANSWER_RESUMED, call.requestId(), deliveredBytes, servingMember.instance());
        remainder.complete(resumeOnFailure(response.body()));
    }

    private Optional<Member> chooseMember() {
        return switch (forwarder.choose(forwarder.currentMembers(), call, Set.of(servingMember.instance()))) {
            case MemberChoice.Chosen(Member member) -> Optional.of(member);
            case MemberChoice.AllTried(Member member) -> Optional.of(member);
            case MemberChoice.NoMember none -> Optional.empty();
        };
    }

    private Deadline responseStartDeadline() {
        return switch (call.limit()) {
            case TransferLimit.CompletionDeadline(Deadline deadline) -> deadline;
            case TransferLimit.StallTimeout(long stallMillis, Optional<Deadline> callerDeadline) -> {
                Deadline stallDeadline = Deadline.afterMillis(forwarder.time(), stallMillis);
                yield callerDeadline.map(stallDeadline::earlier).orElse(stallDeadline);
            }
        };
    }
}
