package org.berylwick.node.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The nodes that a request was sent to, and what their refusals say about the wait for a slot. */
final class TriedNodes {
    /**
     * Each refusal costs a round trip. After this many, the nodes are taken to be at capacity, and no other is tried.
     */
    private static final int MAX_REFUSALS = 3;

    private final Set<String> excludedKeys = new HashSet<>();
    private final Set<String> busyKeys = new HashSet<>();
    private int refusals;
    private boolean exhausted;
    private long shortestWaitNanos = RetryAfter.UNKNOWN_NANOS;

    /** Keys of the nodes that are not chosen again. */
    Set<String> excludedKeys() {
        return excludedKeys;
    }

    int refusals() {
        return refusals;
    }

    /** Whether so many nodes have refused the request that no other is tried. */
    boolean isExhausted() {
        return exhausted || refusals >= MAX_REFUSALS;
    }

    /** Tries no other node, since they would refuse the request as well. */
    void exhaust() {
        exhausted = true;
    }

    /** Whether no other node is tried if the next one refuses the request. */
    boolean isNextFinal() {
        return refusals + 1 >= MAX_REFUSALS;
    }

    /** Shortest known wait for a slot, or {@link RetryAfter#UNKNOWN_NANOS}; determines the Retry-After time. */
    long shortestWaitNanos() {
        return shortestWaitNanos;
    }

    void onAttempt(Candidate candidate) {
        excludedKeys.add(candidate.key());
    }

    /** Allows a node to be chosen again, since its refusal concerns no attempt but a hedge. */
    void forget(Candidate candidate) {
        excludedKeys.remove(candidate.key());
    }

    void onRefused(Candidate candidate, Refusal refusal) {
        refusals++;
        if (refusal.reason() == Refusal.Reason.BUSY && busyKeys.add(candidate.key())) {
            // The refusal carried the node's current load; the other nodes may be busier, so it may be chosen once
            // more.
            excludedKeys.remove(candidate.key());
        }
        if (refusal.load().slots() > 0) {
            long waitNanos = refusal.load().waitNanos()
                    + refusal.load().meanNanos() / Math.max(1, refusal.load().slots());
            shortestWaitNanos = Math.min(shortestWaitNanos, waitNanos);
        }
    }

    /** Considers the waits at nodes of which none was chosen, because of the limits that their servers state. */
    void onNoneChosen(List<Candidate> candidates) {
        if (candidates.stream().anyMatch(c -> c.limitWaitNanos() > 0)) {
            candidates.forEach(c -> shortestWaitNanos = Math.min(shortestWaitNanos, c.waitNanos()));
        }
    }
}
