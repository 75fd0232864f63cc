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
 * A transfer that goes on from another attempt when it is cut midway.
 *
 * <p>Only an idempotent GET whose whole answer has a strong validator and a known length: the rest is asked for by
 * range on the condition of that validator, so bytes of two different contents are never joined. If the rest can't be
 * had, the answer ends as cut.
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

    private ResumableAnswer(Forwarder forwarder, Call call, String validator, long total, Member from) {
        this.forwarder = forwarder;
        this.call = call;
        this.validator = validator;
        this.contentLength = total;
        this.servingMember = from;
    }

    /** The answer, made resumable if it can be. */
    static StreamedResponse of(Forwarder forwarder, Call call, StreamedResponse answer, Member from) {
        ResponseHeaders headers = answer.headers();
        String validator = headers.get(HttpHeaderNames.ETAG, "");
        boolean resumable = call.match().policy().idempotent()
                && call.isReplayable()
                && call.headers().method() == HttpMethod.GET
                && headers.status().equals(HttpStatus.OK)
                && headers.contentLength() > 0
                && !validator.isEmpty()
                && !validator.startsWith(WEAK_PREFIX);
        if (!resumable) {
            return answer;
        }
        ResumableAnswer whole = new ResumableAnswer(forwarder, call, validator, headers.contentLength(), from);
        return answer.withBody(whole.resumeOnFailure(answer.body()));
    }

    private StreamMessage<HttpData> resumeOnFailure(StreamMessage<HttpData> part) {
        return part.peek(d -> deliveredBytes += d.length()).recoverAndResume(this::resume);
    }

    private StreamMessage<HttpData> resume(Throwable cause) {
        CompletableFuture<StreamMessage<HttpData>> rest = new CompletableFuture<>();
        StreamMessage<HttpData> deferred = StreamMessage.of(rest);
        deferred.whenComplete().whenComplete((done, failure) -> {
            if (failure != null && currentAttempt != null) {
                currentAttempt.cancel().run();
            }
        });
        history = history.plus(new Outcome.Unknown<StreamedResponse>("cut"));
        requestRemainder(cause, rest);
        return deferred;
    }

    private void requestRemainder(Throwable cause, CompletableFuture<StreamMessage<HttpData>> rest) {
        RetryRule rule = new RetryRule(true, true, call.match().policy().maxAttempts(), responseStartDeadline());
        Verdict verdict =
                call.isCallerDisconnected() ? Verdict.TOO_LATE : rule.decide(history, forwarder.retryBudgetFor(call), forwarder.time());
        Optional<Member> member = verdict == Verdict.RETRY ? chooseMember() : Optional.empty();
        if (member.isEmpty()) {
            rest.complete(StreamMessage.aborted(cause));
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
                case Outcome.Answered<StreamedResponse>(StreamedResponse answer) -> appendRemainder(answer, cause, rest);
                case Outcome.RefusedNotRun<StreamedResponse> refused -> {
                    history = history.plus(refused);
                    requestRemainder(cause, rest);
                }
                case Outcome.Unknown<StreamedResponse> unknown -> {
                    history = history.plus(unknown);
                    requestRemainder(cause, rest);
                }
            }
        });
    }

    private void appendRemainder(StreamedResponse answer, Throwable cause, CompletableFuture<StreamMessage<HttpData>> rest) {
        ResponseHeaders headers = answer.headers();
        String range = "bytes " + deliveredBytes + "-" + (contentLength - 1) + "/" + contentLength;
        boolean fits = headers.status().equals(HttpStatus.PARTIAL_CONTENT)
                && validator.equals(headers.get(HttpHeaderNames.ETAG))
                && range.equals(headers.get(HttpHeaderNames.CONTENT_RANGE));
        if (!fits) {
            answer.body().abort();
            rest.complete(StreamMessage.aborted(cause));
            return;
        }
        forwarder.metrics().countResumed();
        EVENTS.log(CallEvent.ANSWER_RESUMED, call.requestId(), deliveredBytes, servingMember.instance());
        rest.complete(resumeOnFailure(answer.body()));
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
            case TransferLimit.Whole(Deadline by) -> by;
            case TransferLimit.Progress(long stallMillis, Optional<Deadline> callerBy) -> {
                Deadline stall = Deadline.afterMillis(forwarder.time(), stallMillis);
                yield callerBy.map(stall::earlier).orElse(stall);
            }
        };
    }
}
