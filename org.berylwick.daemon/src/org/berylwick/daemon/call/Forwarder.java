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

/** Sends calls to members until each is answered or must be given up. */
final class Forwarder {
    private final String instance;
    private final Owner owner;
    private final PeerSender peers;
    private final MemberChooser chooser;
    private final PeerLoads loads;
    private final MembershipTable membership;
    private final RetryBudgets budgets;
    private final CallMetrics metrics;
    private final Invariants invariants;
    private final TimeSource time;

    /**
     * The forwarder of one daemon.
     *
     * @param instance the own instance, whose calls need no connection
     */
    Forwarder(
            String instance,
            Owner owner,
            PeerSender peers,
            MemberChooser chooser,
            PeerLoads loads,
            MembershipTable membership,
            CallMetrics metrics,
            Invariants invariants,
            TimeSource time) {
        this.instance = instance;
        this.owner = owner;
        this.peers = peers;
        this.chooser = chooser;
        this.loads = loads;
        this.membership = membership;
        this.budgets = new RetryBudgets(time);
        this.metrics = metrics;
        this.invariants = invariants;
        this.time = time;
    }

    /** Runs the call; the response is the final answer, and cancelling it cancels the call. */
    HttpResponse forward(Call call) {
        return new Forwarding(this, call).start();
    }

    /** Sends one attempt to a member, over the network unless it is this daemon's own. */
    Attempt send(Call call, Member member, long attemptMillis) {
        AtomicBoolean givenUp = new AtomicBoolean();
        PeerLoads.Attempt load = loads.begin(member);
        Attempt begun = member.instance().equals(instance)
                ? runHere(call, load, attemptMillis)
                : peers.send(call, member, load, attemptMillis);
        CompletableFuture<Outcome<Answer>> outcome = begun.outcome().thenApply(o -> {
            // A request that its caller gave up tells nothing about the member.
            if (!givenUp.get()) {
                learn(call, load, o, attemptMillis);
            }
            return o;
        });
        return new Attempt(outcome, () -> {
            givenUp.set(true);
            begun.cancel().run();
        });
    }

    private Attempt runHere(Call call, PeerLoads.Attempt load, long attemptMillis) {
        Deadline by = Deadline.afterMillis(time, attemptMillis);
        Attempt begun = owner.start(new OwnerRequest(
                call.requestId(),
                call.match().policy().trafficClass(),
                by,
                call.limit(),
                call.newRequest(call.headers())));
        begun.outcome().thenRun(load::close);
        return begun;
    }

    private static void learn(Call call, PeerLoads.Attempt load, Outcome<Answer> outcome, long attemptMillis) {
        switch (outcome) {
            case Outcome.Answered<Answer>(Answer answer) -> {
                HttpStatus status = answer.headers().status();
                if (status.isServerError()) {
                    load.failed("status " + status.code());
                } else {
                    load.responseStarted(call.match().policy().trafficClass() != TrafficClass.BULK);
                }
            }
            case Outcome.RefusedNotRun<Answer>(RefusalReason reason, Optional<Long> retryAfter) -> {
                if (reason == RefusalReason.DAEMON_UNREACHABLE || reason == RefusalReason.SERVER_UNREACHABLE) {
                    load.failed(reason.word());
                }
            }
            case Outcome.Unknown<Answer>(String detail) -> load.outcomeUnknown(detail, attemptMillis);
        }
    }

    /** Picks a member that was not tried yet. */
    MemberChoice choose(MembershipView members, Call call, Set<String> tried) {
        return chooser.choose(members, call.match(), tried);
    }

    /** Remembers at once that a member's own daemon says it is leaving, before its announcement arrives. */
    void noteLeaving(Member member) {
        membership.merge(member.withState(Member.State.LEAVING));
    }

    MembershipView currentMembers() {
        return membership.view();
    }

    RetryBudget budgetFor(Call call) {
        return budgets.forService(call.match().service().name());
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
