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
import org.berylwick.node.lib.RequestFingerprint;

/**
 * Forwards one call: sends attempts one after another until one gets a response or no further retry is allowed.
 *
 * <p>The first attempt uses the members known when the request arrived, retries use the current members.
 */
final class Forwarding {
    private static final EventLog EVENTS = new EventLog(Forwarding.class);
    private static final long NO_MEMBER_RETRY_AFTER_MILLIS = 1_000;
    private static final Backoff SAME_MEMBER_BACKOFF = new Backoff(10, 200);

    private final Forwarder forwarder;
    private final Call call;
    private final RetryRule rule;
    private final Optional<RequestFingerprint> fingerprint;
    private final long startNanos;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private final Set<String> triedInstances = new HashSet<>();
    private AttemptHistory history = AttemptHistory.NONE;
    private int completedRounds;
    private volatile boolean cancelled;
    private volatile Attempt currentAttempt;

    Forwarding(Forwarder forwarder, Call call) {
        this.forwarder = forwarder;
        this.call = call;
        this.rule = new RetryRule(
                call.match().policy().idempotent(),
                call.isReplayable(),
                call.match().policy().maxAttempts(),
                call.deadline());
        this.fingerprint = call.fingerprint();
        this.startNanos = forwarder.time().nanoTime();
    }

    /** Sends the first attempt and returns the final response. */
    HttpResponse start() {
        forwarder.retryBudgetFor(call).countRequest();
        forwarder.metrics().callStarted();
        HttpResponse response = HttpResponse.of(result);
        CallerDisconnectListener disconnectListener =
                CallerDisconnectListener.register(call.context(), response::abort);
        response.whenComplete().whenComplete((ignored, failure) -> {
            disconnectListener.close();
            forwarder.metrics().callEnded();
            if (failure != null) {
                cancel();
            }
        });
        if (call.deadline().remainingMillis(forwarder.time()) <= 0) {
            completeWithProblem(new Outcome.RefusedNotRun<>(RefusalReason.DEADLINE, Optional.empty()));
        } else {
            sendToChosenMember(call.members());
        }
        return response;
    }

    private void cancel() {
        cancelled = true;
        Attempt attemptToCancel = currentAttempt;
        if (attemptToCancel != null) {
            attemptToCancel.cancel().run();
        }
    }

    private void sendToChosenMember(MembershipView members) {
        Optional<Long> holdMillis = forwarder.crashGuard().holdMillis(fingerprint);
        if (holdMillis.isPresent()) {
            history = history.plus(new Outcome.RefusedNotRun<>(RefusalReason.QUARANTINED, holdMillis));
            completeWithProblem(history.finalOutcome());
            return;
        }
        switch (forwarder.choose(members, call, triedInstances)) {
            case MemberChoice.Chosen(Member member) -> sendTo(member);
            case MemberChoice.AllTried(Member member) -> retryTriedMembers();
            case MemberChoice.NoMember(RefusalReason reason) -> {
                if (history.attempts() > 0) {
                    retryTriedMembers();
                } else {
                    completeWithProblem(new Outcome.RefusedNotRun<>(reason, Optional.of(NO_MEMBER_RETRY_AFTER_MILLIS)));
                }
            }
        }
    }

    private void sendTo(Member member) {
        boolean sendPermitted = !history.mayHaveRun() || call.match().policy().idempotent();
        forwarder
                .invariants()
                .check(
                        Invariant.AT_MOST_ONCE,
                        sendPermitted,
                        () -> "request " + call.requestId()
                                + " is not idempotent and is sent again although it may have run");
        Attempt attempt = forwarder.send(call, member, rule.attemptTimeoutMillis(history, forwarder.time()));
        currentAttempt = attempt;
        if (cancelled) {
            attempt.cancel().run();
        }
        attempt.outcome().thenAccept(outcome -> handleOutcome(member, outcome));
    }

    private void handleOutcome(Member member, Outcome<StreamedResponse> outcome) {
        if (outcome instanceof Outcome.Answered<StreamedResponse> answered) {
            fingerprint.ifPresent(forwarder.crashGuard()::onCompleted);
            deliver(answered, member);
            return;
        }
        if (outcome instanceof Outcome.RefusedNotRun<StreamedResponse>(RefusalReason reason, Optional<Long> retryAfter)
                && reason == RefusalReason.LEAVING) {
            forwarder.markLeaving(member);
        }
        history = history.plus(outcome);
        triedInstances.add(member.instance());
        if (cancelled) {
            completeWithProblem(history.finalOutcome());
            return;
        }
        Verdict verdict = rule.decide(history, forwarder.retryBudgetFor(call), forwarder.time());
        forwarder.metrics().countVerdict(verdict);
        if (verdict == Verdict.RETRY) {
            sendToChosenMember(forwarder.currentMembers());
            return;
        }
        if (verdict == Verdict.OVER_BUDGET) {
            EVENTS.log(
                    CallEvent.OVER_BUDGET,
                    call.requestId(),
                    call.match().service().name());
        }
        completeWithProblem(history.finalOutcome());
    }

    private void retryTriedMembers() {
        long delayMillis = SAME_MEMBER_BACKOFF.delayMillis(completedRounds, ThreadLocalRandom.current());
        boolean timeRemains = call.deadline().remainingMillis(forwarder.time()) > delayMillis;
        if (triedInstances.isEmpty() || cancelled || !timeRemains) {
            completeWithProblem(history.finalOutcome());
            return;
        }
        completedRounds++;
        triedInstances.clear();
        call.context()
                .eventLoop()
                .schedule(() -> sendToChosenMember(forwarder.currentMembers()), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void deliver(Outcome.Answered<StreamedResponse> answered, Member member) {
        forwarder.metrics().countOutcome(answered, elapsedNanos());
        result.complete(new AnswerDelivery(forwarder, call).deliver(answered.answer(), member));
    }

    private void completeWithProblem(Outcome<StreamedResponse> outcome) {
        forwarder.metrics().countOutcome(outcome, elapsedNanos());
        switch (outcome) {
            case Outcome.Answered<StreamedResponse> answered ->
                throw new IllegalArgumentException("call has a response and cannot be completed with a problem");
            case Outcome.RefusedNotRun<StreamedResponse>(RefusalReason reason, Optional<Long> retryAfter) -> {
                forwarder
                        .invariants()
                        .check(
                                Invariant.REFUSAL_TRUE,
                                !history.mayHaveRun(),
                                () -> "request " + call.requestId() + " may have run but is reported as not run");
                result.complete(Problem.notRun(call.requestId(), reason, retryAfter));
            }
            case Outcome.Unknown<StreamedResponse>(String detail) -> {
                EVENTS.log(
                        CallEvent.OUTCOME_UNKNOWN,
                        call.requestId(),
                        call.match().service().name(),
                        detail);
                // The owner may see the deadline pass some milliseconds earlier than this daemon does.
                boolean timedOut = detail.equals(Exchange.RESPONSE_TIMEOUT_DETAIL)
                        || call.deadline().remainingMillis(forwarder.time()) <= 0;
                result.complete(Problem.unknown(
                        call.requestId(), timedOut, call.match().policy().idempotent(), detail));
            }
        }
    }

    private long elapsedNanos() {
        return forwarder.time().nanoTime() - startNanos;
    }
}
