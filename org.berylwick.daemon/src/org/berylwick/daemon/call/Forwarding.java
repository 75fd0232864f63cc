package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.retry.AttemptHistory;
import org.berylwick.internal.retry.Backoff;
import org.berylwick.internal.retry.RetryRule;
import org.berylwick.internal.retry.RetryRule.Verdict;
import org.berylwick.internal.routing.MemberChoice;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;

/**
 * One call on its way: attempts follow one another until one is answered or no more may be made.
 *
 * <p>The first attempt uses the members that were pinned at the start of the request, later ones those known by then.
 */
final class Forwarding {
    private static final EventLog EVENTS = new EventLog(Forwarding.class);
    private static final long NO_MEMBER_RETRY_AFTER_MILLIS = 1_000;
    private static final Backoff SAME_MEMBER = new Backoff(10, 200);

    private final Forwarder forwarder;
    private final Call call;
    private final RetryRule rule;
    private final long startNanos;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private final Set<String> tried = new HashSet<>();
    private AttemptHistory log = AttemptHistory.NONE;
    private int rounds;
    private volatile boolean cancelled;
    private volatile Attempt current;

    Forwarding(Forwarder forwarder, Call call) {
        this.forwarder = forwarder;
        this.call = call;
        this.rule = new RetryRule(
                call.match().policy().idempotent(),
                call.isReplayable(),
                call.match().policy().maxAttempts(),
                call.deadline());
        this.startNanos = forwarder.time().nanoTime();
    }

    /** Sends the first attempt. */
    HttpResponse start() {
        forwarder.budgetFor(call).countRequest();
        forwarder.metrics().begin();
        HttpResponse response = HttpResponse.of(result);
        CallerWatch watch = CallerWatch.begin(call.context(), response::abort);
        response.whenComplete().whenComplete((done, failure) -> {
            watch.close();
            forwarder.metrics().end();
            if (failure != null) {
                cancel();
            }
        });
        if (call.deadline().remainingMillis(forwarder.time()) <= 0) {
            giveUp(new Outcome.RefusedNotRun<>(RefusalReason.DEADLINE, Optional.empty()));
        } else {
            attempt(call.members());
        }
        return response;
    }

    private void cancel() {
        cancelled = true;
        Attempt running = current;
        if (running != null) {
            running.cancel().run();
        }
    }

    private void attempt(MembershipView members) {
        switch (forwarder.choose(members, call, tried)) {
            case MemberChoice.Chosen(Member member) -> attempt(member);
            case MemberChoice.AllTried(Member member) -> noMemberLeft();
            case MemberChoice.NoMember(RefusalReason reason) -> {
                if (log.attempts() > 0) {
                    noMemberLeft();
                } else {
                    giveUp(new Outcome.RefusedNotRun<>(reason, Optional.of(NO_MEMBER_RETRY_AFTER_MILLIS)));
                }
            }
        }
    }

    private void attempt(Member member) {
        boolean mayRun = !log.mayHaveRun() || call.match().policy().idempotent();
        forwarder
                .invariants()
                .check(Invariant.AT_MOST_ONCE, mayRun, () -> "request " + call.requestId() + " is sent once too often");
        Attempt begun = forwarder.send(call, member, rule.attemptTimeoutMillis(log, forwarder.time()));
        current = begun;
        if (cancelled) {
            begun.cancel().run();
        }
        begun.outcome().thenAccept(outcome -> ended(member, outcome));
    }

    private void ended(Member member, Outcome<Answer> outcome) {
        if (outcome instanceof Outcome.Answered<Answer> answered) {
            deliver(answered, member);
            return;
        }
        if (outcome instanceof Outcome.RefusedNotRun<Answer>(RefusalReason reason, Optional<Long> after)
                && reason == RefusalReason.LEAVING) {
            forwarder.noteLeaving(member);
        }
        log = log.plus(outcome);
        tried.add(member.instance());
        if (cancelled) {
            giveUp(log.finalOutcome());
            return;
        }
        Verdict verdict = rule.decide(log, forwarder.budgetFor(call), forwarder.time());
        forwarder.metrics().countVerdict(verdict);
        if (verdict == Verdict.RETRY) {
            attempt(forwarder.currentMembers());
            return;
        }
        if (verdict == Verdict.OVER_BUDGET) {
            EVENTS.log(
                    CallEvent.OVER_BUDGET,
                    call.requestId(),
                    call.match().service().name());
        }
        giveUp(log.finalOutcome());
    }

    private void noMemberLeft() {
        long pause = SAME_MEMBER.delayMillis(rounds, ThreadLocalRandom.current());
        boolean inTime = call.deadline().remainingMillis(forwarder.time()) > pause;
        if (tried.isEmpty() || cancelled || !inTime) {
            giveUp(log.finalOutcome());
            return;
        }
        rounds++;
        tried.clear();
        call.context().eventLoop().schedule(() -> attempt(forwarder.currentMembers()), pause, TimeUnit.MILLISECONDS);
    }

    private void deliver(Outcome.Answered<Answer> answered, Member member) {
        forwarder.metrics().countOutcome(answered, elapsedNanos());
        result.complete(new AnswerDelivery(forwarder, call).deliver(answered.answer(), member));
    }

    private void giveUp(Outcome<Answer> outcome) {
        forwarder.metrics().countOutcome(outcome, elapsedNanos());
        switch (outcome) {
            case Outcome.Answered<Answer> answered ->
                throw new IllegalArgumentException("an answered call is not given up");
            case Outcome.RefusedNotRun<Answer>(RefusalReason reason, Optional<Long> retryAfter) -> {
                forwarder
                        .invariants()
                        .check(
                                Invariant.REFUSAL_TRUE,
                                !log.mayHaveRun(),
                                () -> "request " + call.requestId() + " may have run and is called not run");
                result.complete(Problem.notRun(call.requestId(), reason, retryAfter));
            }
            case Outcome.Unknown<Answer>(String detail) -> {
                EVENTS.log(
                        CallEvent.OUTCOME_UNKNOWN,
                        call.requestId(),
                        call.match().service().name(),
                        detail);
                // The owner's clock may find the deadline passed some milliseconds before the one here does.
                boolean late = detail.equals(Exchange.RESPONSE_TIMEOUT_DETAIL)
                        || call.deadline().remainingMillis(forwarder.time()) <= 0;
                result.complete(Problem.unknown(
                        call.requestId(), late, call.match().policy().idempotent(), detail));
            }
        }
    }

    private long elapsedNanos() {
        return forwarder.time().nanoTime() - startNanos;
    }
}
