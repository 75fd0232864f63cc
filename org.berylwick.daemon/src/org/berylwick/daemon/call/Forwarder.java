package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpResponse;
import java.util.Optional;
import java.util.Set;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.retry.RetryBudget;
import org.berylwick.internal.retry.RetryBudgets;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.TimeSource;

/** Sends calls to members until each is answered or must be given up. */
final class Forwarder {
    private final String instance;
    private final Owner owner;
    private final PeerSender peers;
    private final MemberChooser chooser;
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
            MembershipTable membership,
            CallMetrics metrics,
            Invariants invariants,
            TimeSource time) {
        this.instance = instance;
        this.owner = owner;
        this.peers = peers;
        this.chooser = chooser;
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
        if (!member.instance().equals(instance)) {
            return peers.send(call, member, attemptMillis);
        }
        Deadline by = Deadline.afterMillis(time, attemptMillis);
        return owner.run(new OwnedRequest(
                call.requestId(),
                call.match().policy().trafficClass(),
                by,
                call.limit(),
                call.newRequest(call.headers())));
    }

    /** Picks a member that was not tried yet. */
    Optional<Member> choose(MembershipView members, Call call, Set<String> tried) {
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
        return budgets.of(call.match().service().name());
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
