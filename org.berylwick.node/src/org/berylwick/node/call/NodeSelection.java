package org.berylwick.node.call;

import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.Route;

/** Chooses the node for each attempt of one call among those not tried yet; confined to the event loop. */
final class NodeSelection {
    /**
     * Longest time that a request waits for slots, at all nodes together, as a fraction of its latency objective.
     * Longer waits make other requests late, and a caller that is refused early still has time to retry.
     */
    private static final double MAX_QUEUE_WAIT_SHARE = 0.4;

    private final EntryContext context;
    private final Route route;
    private final CallSpec spec;
    private final long queueWaitEndsAt;
    private final boolean callerRetried;
    private final TriedNodes triedNodes = new TriedNodes();
    private EntryShares.CallShare share = EntryShares.CallShare.NONE;

    NodeSelection(EntryContext context, Route route, CallSpec spec, long receivedAt, boolean callerRetried) {
        this.context = context;
        this.route = route;
        this.spec = spec;
        this.queueWaitEndsAt = receivedAt + (long) (MAX_QUEUE_WAIT_SHARE * (spec.objectiveAt() - receivedAt));
        this.callerRetried = callerRetried;
    }

    /** Sets the share of the organisation that the request belongs to, which bounds its wait. */
    void setShare(EntryShares.CallShare callShare) {
        share = callShare;
    }

    TriedNodes triedNodes() {
        return triedNodes;
    }

    /** Chooses the best node that is left; empty if there is none, or the request is better refused. */
    Optional<CandidateChooser.Choice> choose(long now) {
        if (triedNodes.isExhausted()) {
            return Optional.empty();
        }
        List<Candidate> candidates = candidates(now);
        Optional<CandidateChooser.Choice> choice = choose(candidates, now);
        if (choice.isEmpty()) {
            triedNodes.onNoneChosen(candidates);
        }
        return choice;
    }

    /** Chooses the node for the hedge of an attempt that takes long; the hedge may not wait there. */
    Optional<CandidateChooser.Choice> chooseForHedge(HedgePolicy policy, HedgePolicy.DueAttempt attempt, long now) {
        if (triedNodes.isExhausted()) {
            return Optional.empty();
        }
        List<Candidate> candidates = candidates(now);
        if (!HedgePolicy.hasCapacity(candidates)) {
            return Optional.empty();
        }
        return choose(candidates, now)
                .map(CandidateChooser.Choice::candidate)
                .filter(candidate -> policy.isWorthwhile(attempt, candidate, now))
                .map(candidate -> new CandidateChooser.Choice(candidate, 0));
    }

    private List<Candidate> candidates(long now) {
        return context.candidates().candidatesFor(spec.service(), triedNodes.excludedKeys(), now);
    }

    private Optional<CandidateChooser.Choice> choose(List<Candidate> candidates, long now) {
        boolean isCall = Candidate.anyReceivesCalls(candidates, spec.requestClass());
        RequestProfile profile = new RequestProfile(
                spec.requestClass(),
                spec.expectedResponseBytes() + spec.body().length(),
                context.responseEstimates().expectedNanos(route),
                spec.objectiveAt() - now,
                spec.remainingNanos(now),
                share.maxWaitNanos((isCall ? spec.deadlineAt() : queueWaitEndsAt) - now, now),
                callerRetried || isCall ? 0 : context.callerRetryRates().retryRate(spec.requestClass()),
                isCall,
                triedNodes.isNextFinal());
        return context.chooser().choose(candidates, profile);
    }
}
