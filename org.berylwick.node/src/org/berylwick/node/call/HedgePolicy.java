package org.berylwick.node.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * Decides when a request that takes long is due to be sent to a second node, and whether it may be. Confined to the
 * event loop.
 */
public final class HedgePolicy {
    /** Largest share of extra requests that can be set. */
    public static final double MAX_SHARE = 0.2;
    /** Due time of an attempt that is not hedged. */
    static final long NEVER = Long.MAX_VALUE;

    /** Fraction of the share that is due in the long run; requests become due in clusters, when a server is slow. */
    private static final double DUE_FRACTION = 0.5;
    /** A lower quantile would hedge requests that are not slow. */
    private static final double MIN_QUANTILE = 0.9;
    /** At a higher quantile, a hedge comes too late to shorten the response time of one request in a hundred. */
    private static final double MAX_QUANTILE = 0.98;
    /** Time for the request and the response on the network and in the nodes, which owners do not measure. */
    private static final long NETWORK_NANOS = 4_000_000L;
    /** Time without hedges after a request found no node with room for it. */
    static final long SHORTAGE_NANOS = 250_000_000L;
    /**
     * Largest share of requests that owners refuse for lack of a slot. Since load reports are some milliseconds old,
     * one in eight is refused by some owner while 0.7 of all slots are taken, and four in ten when all are.
     */
    private static final double MAX_REFUSED_SHARE = 0.25;
    /** Weight of a request in that share, which reflects about the last hundred requests. */
    private static final double REFUSAL_WEIGHT = 0.01;
    /** Above this utilisation, extra requests soon delay others, and load reports are too old to tell. */
    private static final double MAX_UTILISATION = 0.9;
    /** Largest accepted probability that a hedge misses the deadline. */
    private static final double MAX_MISSED_PROBABILITY = 0.1;

    private final double share;
    private final double quantile;
    private final Map<String, ServiceState> byService = new HashMap<>();

    private static final class ServiceState {
        private final HedgeBudget budget;
        private final LateAttempts lateAttempts = new LateAttempts();
        private boolean shortageSeen;
        private long shortageSeenAt;
        private double refusedShare;

        ServiceState(double share) {
            budget = new HedgeBudget(share);
        }
    }

    /**
     * An attempt that is due to be hedged.
     *
     * @param service service of the request
     * @param requestClass class of the request
     * @param expectedBytes expected size of the request body and the response
     * @param deadlineAt deadline of the request
     * @param candidate node that runs the attempt
     */
    record DueAttempt(
            String service, RequestClass requestClass, double expectedBytes, long deadlineAt, Candidate candidate) {}

    private HedgePolicy(double share) {
        this.share = share;
        this.quantile = Math.clamp(1 - DUE_FRACTION * share, MIN_QUANTILE, MAX_QUANTILE);
    }

    /**
     * Creates the policy of an entry.
     *
     * @param share extra requests per request, 0 for no hedging
     * @return the policy, empty for no hedging
     */
    public static Optional<HedgePolicy> of(double share) {
        if (!(share >= 0 && share <= MAX_SHARE)) {
            throw new IllegalArgumentException("hedge share is not from 0 to " + MAX_SHARE + ": " + share);
        }
        return share == 0 ? Optional.empty() : Optional.of(new HedgePolicy(share));
    }

    /** Counts a request to a service. */
    void onRequest(String service, long now) {
        ServiceState state = stateOf(service);
        state.budget.onRequest(now);
        state.refusedShare *= 1 - REFUSAL_WEIGHT;
    }

    /** Records that an owner refused a request for lack of a slot, or its backend server rejected it. */
    void onRefused(String service) {
        stateOf(service).refusedShare += REFUSAL_WEIGHT;
    }

    /** Records that a request found no node with room for it. */
    void onShortage(String service, long now) {
        ServiceState state = stateOf(service);
        state.shortageSeen = true;
        state.shortageSeenAt = now;
    }

    /** Returns when an attempt that starts now is due to be hedged, or {@link #NEVER}. */
    long dueAt(DueAttempt attempt, long now) {
        Optional<ServiceTimeDistribution> serviceTime = attempt.candidate().serviceTime(attempt.requestClass());
        if (serviceTime.isEmpty()) {
            return NEVER;
        }
        long dueAt = now
                + delayNanos(attempt.candidate(), attempt.expectedBytes())
                + serviceTime.get().quantileNanos(quantile);
        return dueAt < attempt.deadlineAt() ? dueAt : NEVER;
    }

    /** Returns how long a request takes apart from its service time. */
    private static long delayNanos(Candidate candidate, double expectedBytes) {
        long waitNanos = Math.max(candidate.waitNanos(), candidate.link().inTransitNanos());
        return waitNanos + candidate.link().transferNanos(expectedBytes) + NETWORK_NANOS;
    }

    /** Returns whether a service was seen to be short of capacity by the requests of this node. */
    boolean isShort(String service, long now) {
        ServiceState state = stateOf(service);
        boolean refusedRecently = state.shortageSeen && now - state.shortageSeenAt < SHORTAGE_NANOS;
        return refusedRecently || state.refusedShare > MAX_REFUSED_SHARE;
    }

    /** Returns whether the candidates of a request have capacity for extra ones. */
    static boolean hasCapacity(List<Candidate> candidates) {
        long pendingRequests = 0;
        long slots = 0;
        for (Candidate candidate : candidates) {
            pendingRequests += candidate.pendingRequests();
            slots += candidate.load().slots();
        }
        return pendingRequests < MAX_UTILISATION * slots;
    }

    /**
     * Returns whether a hedge at a node would start at once, finish before the deadline, and most likely do so before
     * the attempt that is due.
     */
    boolean isWorthwhile(DueAttempt attempt, Candidate candidate, long now) {
        boolean startsAtOnce = candidate.pendingRequests() < candidate.load().slots()
                && candidate.waitNanos() == 0
                && candidate.warmUpNanos() == 0
                && !candidate.suspect();
        Optional<ServiceTimeDistribution> hedgeTime = candidate.serviceTime(attempt.requestClass());
        Optional<ServiceTimeDistribution> firstTime = attempt.candidate().serviceTime(attempt.requestClass());
        if (!startsAtOnce || hedgeTime.isEmpty() || firstTime.isEmpty()) {
            return false;
        }
        long delayNanos = delayNanos(candidate, attempt.expectedBytes());
        ServiceTimeDistribution currentHedgeTime =
                hedgeTime.get().scaledBy(Math.max(1, candidate.slowdown().factor()));
        double missed = currentHedgeTime.probabilityOfExceeding(attempt.deadlineAt() - now - delayNanos);
        long firstRemainingNanos = stateOf(attempt.service())
                .lateAttempts
                .expectedRemainingNanos(firstTime.get(), firstTime.get().quantileNanos(quantile));
        return missed <= MAX_MISSED_PROBABILITY && delayNanos + currentHedgeTime.medianNanos() < firstRemainingNanos;
    }

    /** Returns whether the share of a service has room for a hedge. */
    boolean isWithinShare(String service, long now) {
        return stateOf(service).budget.hasRoom(now);
    }

    /** Takes a hedge from the share of a service. */
    void onSent(String service, long now) {
        stateOf(service).budget.take(now);
    }

    /** Returns a hedge that its owner has refused to the share of a service. */
    void onNotRun(String service, long sentAt, long now) {
        stateOf(service).budget.release(sentAt, now);
    }

    /**
     * Records how a due attempt has ended.
     *
     * @param lateNanos time that it went on after its due time
     * @param completed whether it was completed, rather than cancelled or lost
     */
    void onLateAttemptEnded(DueAttempt attempt, long lateNanos, boolean completed) {
        attempt.candidate()
                .serviceTime(attempt.requestClass())
                .ifPresent(time -> stateOf(attempt.service()).lateAttempts.record(time, lateNanos, completed));
    }

    private ServiceState stateOf(String service) {
        ServiceState state = byService.get(service);
        if (state == null) {
            state = new ServiceState(share);
            byService.put(service, state);
        }
        return state;
    }
}
