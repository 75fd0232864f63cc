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
    private final long total;
    private long passed;
    private Member from;
    private AttemptHistory log = AttemptHistory.NONE;
    private Attempt current;

    private ResumableAnswer(Forwarder forwarder, Call call, String validator, long total, Member from) {
        this.forwarder = forwarder;
        this.call = call;
        this.validator = validator;
        this.total = total;
        this.from = from;
    }

    /** The answer, made resumable if it can be. */
    static Answer of(Forwarder forwarder, Call call, Answer answer, Member from) {
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
        return answer.withBody(whole.follow(answer.body()));
    }

    private StreamMessage<HttpData> follow(StreamMessage<HttpData> part) {
        return part.peek(d -> passed += d.length()).recoverAndResume(this::resume);
    }

    private StreamMessage<HttpData> resume(Throwable cause) {
        CompletableFuture<StreamMessage<HttpData>> rest = new CompletableFuture<>();
        StreamMessage<HttpData> deferred = StreamMessage.of(rest);
        deferred.whenComplete().whenComplete((done, failure) -> {
            if (failure != null && current != null) {
                current.cancel().run();
            }
        });
        log = log.plus(new Outcome.Unknown<Answer>("cut"));
        askForRest(cause, rest);
        return deferred;
    }

    private void askForRest(Throwable cause, CompletableFuture<StreamMessage<HttpData>> rest) {
        RetryRule rule = new RetryRule(true, true, call.match().policy().maxAttempts(), headBy());
        Verdict verdict =
                call.isCallerGone() ? Verdict.TOO_LATE : rule.decide(log, forwarder.budgetFor(call), forwarder.time());
        Optional<Member> member = verdict == Verdict.RETRY ? otherMember() : Optional.empty();
        if (member.isEmpty()) {
            rest.complete(StreamMessage.aborted(cause));
            return;
        }
        RequestHeadersBuilder headers = call.headers().toBuilder();
        headers.set(HttpHeaderNames.RANGE, "bytes=" + passed + "-");
        headers.set(HttpHeaderNames.IF_RANGE, validator);
        from = member.get();
        current = forwarder.send(
                call.withHeaders(headers.build()), from, rule.attemptTimeoutMillis(log, forwarder.time()));
        current.outcome().thenAccept(outcome -> {
            switch (outcome) {
                case Outcome.Answered<Answer>(Answer answer) -> join(answer, cause, rest);
                case Outcome.RefusedNotRun<Answer> refused -> {
                    log = log.plus(refused);
                    askForRest(cause, rest);
                }
                case Outcome.Unknown<Answer> unknown -> {
                    log = log.plus(unknown);
                    askForRest(cause, rest);
                }
            }
        });
    }

    private void join(Answer answer, Throwable cause, CompletableFuture<StreamMessage<HttpData>> rest) {
        ResponseHeaders headers = answer.headers();
        String range = "bytes " + passed + "-" + (total - 1) + "/" + total;
        boolean fits = headers.status().equals(HttpStatus.PARTIAL_CONTENT)
                && validator.equals(headers.get(HttpHeaderNames.ETAG))
                && range.equals(headers.get(HttpHeaderNames.CONTENT_RANGE));
        if (!fits) {
            answer.body().abort();
            rest.complete(StreamMessage.aborted(cause));
            return;
        }
        forwarder.metrics().countResumed();
        EVENTS.log(CallEvent.ANSWER_RESUMED, call.requestId(), passed, from.instance());
        rest.complete(follow(answer.body()));
    }

    private Optional<Member> otherMember() {
        return switch (forwarder.choose(forwarder.currentMembers(), call, Set.of(from.instance()))) {
            case MemberChoice.Chosen(Member member) -> Optional.of(member);
            case MemberChoice.AllTried(Member member) -> Optional.of(member);
            case MemberChoice.NoMember none -> Optional.empty();
        };
    }

    private Deadline headBy() {
        return switch (call.limit()) {
            case TransferLimit.CompletionDeadline(Deadline by) -> by;
            case TransferLimit.StallTimeout(long stallMillis, Optional<Deadline> callerBy) -> {
                Deadline stall = Deadline.afterMillis(forwarder.time(), stallMillis);
                yield callerBy.map(stall::earlier).orElse(stall);
            }
        };
    }
}
