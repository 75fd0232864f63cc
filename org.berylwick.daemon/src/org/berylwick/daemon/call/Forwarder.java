package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.retry.RetryBudget;
import org.berylwick.internal.retry.RetryBudgets;
import org.berylwick.internal.routing.MemberChoice;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.internal.routing.PeerLoads;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/** Forwards calls to members, with retries. */
final class Forwarder {
    private final String instance;
    private final Owner localOwner;
    private final PeerSender peers;
    private final MemberChooser chooser;
    private final PeerLoads loads;
    private final MembershipTable membership;
    private final RetryBudgets budgets;
    private final CallMetrics metrics;
    private final Invariants invariants;
    private final TimeSource time;
    private final CrashGuard crashGuard;

    /**
     * Creates the forwarder of a daemon.
     *
     * @param instance instance of this daemon; calls to it are run locally instead of over the network
     * @param localOwner runs requests on this daemon's backend server
     */
    Forwarder(
            String instance,
            Owner localOwner,
            PeerSender peers,
            MemberChooser chooser,
            PeerLoads loads,
            MembershipTable membership,
            CallMetrics metrics,
            Invariants invariants,
            TimeSource time,
            CrashGuard crashGuard) {
        this.instance = instance;
        this.localOwner = localOwner;
        this.peers = peers;
        this.chooser = chooser;
        this.loads = loads;
        this.membership = membership;
        this.budgets = new RetryBudgets(time);
        this.metrics = metrics;
        this.invariants = invariants;
        this.time = time;
        this.crashGuard = crashGuard;
    }

    /** Forwards the call and returns its final response; cancelling the response cancels the call. */
    HttpResponse forward(Call call) {
        return new Forwarding(this, call).start();
    }

    /** Sends one attempt to a member; over the network, unless the member is this daemon itself. */
    Attempt send(Call call, Member member, long attemptTimeoutMillis) {
        AtomicBoolean cancelled = new AtomicBoolean();
        PeerLoads.Attempt loadAttempt = loads.begin(member);
        Attempt attempt = member.instance().equals(instance)
                ? runLocally(call, loadAttempt, attemptTimeoutMillis)
                : peers.send(call, member, loadAttempt, attemptTimeoutMillis);
        CompletableFuture<Outcome<StreamedResponse>> outcome = attempt.outcome().thenApply(o -> {
            // The outcome of a cancelled attempt says nothing about the member.
            if (!cancelled.get()) {
                recordOutcome(call, loadAttempt, o, attemptTimeoutMillis);
            }
            return o;
        });
        return new Attempt(outcome, () -> {
            cancelled.set(true);
            attempt.cancel().run();
        });
    }

    private Attempt runLocally(Call call, PeerLoads.Attempt loadAttempt, long attemptTimeoutMillis) {
        Deadline deadline = Deadline.afterMillis(time, attemptTimeoutMillis);
        Attempt attempt = localOwner.start(new OwnerRequest(
                call.requestId(),
                call.match().policy().trafficClass(),
                deadline,
                call.limit(),
                call.fingerprint(),
                crashGuard.knownCrashes(call.fingerprint()),
                call.newRequest(call.headers())));
        attempt.outcome().thenRun(loadAttempt::close);
        return attempt;
    }

    private static void recordOutcome(
            Call call, PeerLoads.Attempt loadAttempt, Outcome<StreamedResponse> outcome, long attemptTimeoutMillis) {
        switch (outcome) {
            case Outcome.Answered<StreamedResponse>(StreamedResponse response) -> {
                HttpStatus status = response.headers().status();
                if (status.isServerError()) {
                    loadAttempt.failed("status " + status.code());
                } else {
                    loadAttempt.responseStarted(call.match().policy().trafficClass() != TrafficClass.BULK);
                }
            }
            case Outcome.RefusedNotRun<StreamedResponse>(RefusalReason reason, Optional<Long> retryAfter) -> {
                if (reason == RefusalReason.DAEMON_UNREACHABLE || reason == RefusalReason.SERVER_UNREACHABLE) {
                    loadAttempt.failed(reason.word());
                }
            }
            case Outcome.Unknown<StreamedResponse>(String detail) ->
                loadAttempt.outcomeUnknown(detail, attemptTimeoutMillis);
        }
    }

    /** Chooses a member for the next attempt, preferring those that have not been tried. */
    MemberChoice choose(MembershipView members, Call call, Set<String> triedInstances) {
        return chooser.choose(members, call.match(), triedInstances);
    }

    /** Marks a member as leaving after its own daemon reported so, without waiting for the announcement. */
    void markLeaving(Member member) {
        membership.merge(member.withState(Member.State.LEAVING));
    }

    MembershipView currentMembers() {
        return membership.view();
    }

    RetryBudget retryBudgetFor(Call call) {
        return budgets.forService(call.match().service().name());
    }

    CrashGuard crashGuard() {
        return crashGuard;
    }

    CallMetrics metrics() {
        return metrics;
    }

    Invariants invariants() {
        return invariants;
    }

    TimeSource time() {
        return time;
    }
}
