package org.berylwick.node.call;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * Chooses where a request runs by what its caller stands to lose there; keeps nothing between requests.
 *
 * <p>Backend servers differ in speed, queues are known as they were last told, and bytes are dear between availability
 * zones. All are put in one measure, parts of what a request is worth: the chance that it ends after its objective, or
 * not at all, by the spread of times that the backend server has shown; the chance that it is lost; and its bytes.
 * Chances, not means, since the mean hides the tail that misses the objective.
 */
public final class CandidateChooser {
    /** What a caller loses when an answer is late, in parts of what it loses without one. */
    private static final double LATE_COST = 0.7;
    /** What a lost request costs: one that must run once fails, another takes its time and room again. */
    private static final double LOSS_COST = 1;
    /** Bytes across availability zones that cost as much as one request is worth. */
    private static final double BYTES_PER_UNIT_COST = 16_384;
    /** The most that bytes count: a caller is never refused, and rarely served late, to save them. */
    private static final double MAX_BYTES_COST = 0.68;
    /** Bytes of an answer's and a request's headers. */
    private static final int HEADER_BYTES = 700;

    private static final double SAME_ZONE_COST = 0.002;
    private static final double SAME_REGION_COST = 0.004;
    private static final double OTHER_REGION_COST = 0.1;
    /** Between equals the sooner one, so that room is left where it is scarce. */
    private static final double ELAPSED_TIME_COST = 0.05;
    /** A suspect is taken only if there is nothing else. */
    private static final double SUSPECT_COST = 3;
    /** Equal candidates are told apart by chance, or all entries would take the same one. */
    private static final double MAX_COST_JITTER = 0.004;
    /** A backend server that this node never used gets one request soon, so that one that joined is known to work. */
    private static final double NEVER_USED_DISCOUNT = 0.25;

    private static final double NEVER_USED_PROBABILITY = 0.1;
    /** A backend server that has just started takes about twice as long. */
    private static final double WARM_UP_SLOWDOWN = 2;

    private static final double MAX_SLOWDOWN = 4;
    /** What a load that is some milliseconds old may be wrong by, in parts of the objective. */
    private static final double STALENESS_MARGIN = 0.02;
    /**
     * What a refusal costs, at once and with a time to come back: a first attempt that would wait until it is almost
     * surely late is better refused, as others would wait behind it. Whoever will not come back loses all.
     */
    private static final double REFUSAL_COST = 0.65;

    private static final int BISECTION_STEPS = 6;

    private final DoubleSupplier random;

    /** @param random uniform in [0, 1) */
    public CandidateChooser(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Where to send a request.
     *
     * @param candidate the node
     * @param maxWaitNanos the longest wait there that is still better than the next best node, or than a refusal
     */
    public record Choice(Candidate candidate, long maxWaitNanos) {}

    /**
     * Chooses.
     *
     * @param candidates nodes whose backend server serves the request's service
     * @param profile about the request
     * @return empty if there is none, or if it is better refused
     */
    Optional<Choice> choose(List<Candidate> candidates, RequestProfile profile) {
        double averageMeanNanos = averageMeanNanos(candidates);
        double refusalCost = 1 - (1 - REFUSAL_COST) * profile.callerRetryProbability();
        Candidate best = null;
        double bestCost = Double.MAX_VALUE;
        double nextCost = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            long waitNanos = expectedWaitNanos(candidate, profile, averageMeanNanos);
            double latenessCost = latenessCost(candidate, profile, averageMeanNanos, waitNanos);
            if (waitNanos > 0 && (waitNanos > profile.maxWaitNanos() || latenessCost > refusalCost)) {
                continue;
            }
            double cost =
                    timeIndependentCost(candidate, profile) + latenessCost + random.getAsDouble() * MAX_COST_JITTER;
            if (cost < bestCost) {
                nextCost = bestCost;
                bestCost = cost;
                best = candidate;
            } else if (cost < nextCost) {
                nextCost = cost;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        long waitNanos = expectedWaitNanos(best, profile, averageMeanNanos);
        double bestLatenessCost = latenessCost(best, profile, averageMeanNanos, waitNanos);
        double costMargin = profile.finalAttempt()
                ? refusalCost - bestLatenessCost
                : Math.min(refusalCost - bestLatenessCost, nextCost - bestCost);
        return Optional.of(new Choice(
                best,
                longestAcceptableWaitNanos(
                        best, profile, averageMeanNanos, waitNanos, bestLatenessCost + Math.max(0, costMargin))));
    }

    /** For a slot, or until the link has room: for what is on its way there, and for the answer once it is made. */
    private static long expectedWaitNanos(Candidate candidate, RequestProfile profile, double averageMeanNanos) {
        LinkLoad link = candidate.link();
        long waitNanos = Math.max(candidate.load().waitNanos(candidate.pendingRequests()), link.busyNanos());
        if (!link.isLarge(profile.expectedBytes())) {
            return waitNanos;
        }
        return Math.max(
                waitNanos,
                link.pendingResponsesNanos()
                        - serviceTimeOf(candidate, profile, averageMeanNanos).medianNanos());
    }

    /** How long the request's body and its answer take over the link of another VM. */
    private static long transferNanos(Candidate candidate, RequestProfile profile) {
        return candidate.link().transferNanos(profile.expectedBytes());
    }

    /** The longest wait with which a request stands to lose no more than a bound. */
    private static long longestAcceptableWaitNanos(
            Candidate candidate, RequestProfile profile, double averageMeanNanos, long minWaitNanos, double maxCost) {
        long low = minWaitNanos;
        long high = Math.max(minWaitNanos, profile.deadlineRemainingNanos());
        for (int i = 0; i < BISECTION_STEPS; i++) {
            long middle = low + (high - low) / 2;
            if (latenessCost(candidate, profile, averageMeanNanos, middle) <= maxCost) {
                low = middle;
            } else {
                high = middle;
            }
        }
        long stalenessNanos = (long)
                (STALENESS_MARGIN * Math.max(profile.objectiveRemainingNanos(), profile.deadlineRemainingNanos() / 4));
        return Math.min(Math.max(0, profile.maxWaitNanos()), low + stalenessNanos);
    }

    private static double averageMeanNanos(List<Candidate> candidates) {
        double sum = 0;
        int count = 0;
        for (Candidate candidate : candidates) {
            if (candidate.load().meanNanos() > 0) {
                sum += candidate.load().meanNanos();
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    /** What does not depend on time. */
    private double timeIndependentCost(Candidate candidate, RequestProfile profile) {
        double cost = LOSS_COST * candidate.load().lostPerMille() / 1e3;
        if (candidate.suspect()) {
            cost += SUSPECT_COST;
        }
        double bytesCost = Math.min(MAX_BYTES_COST, (profile.expectedBytes() + HEADER_BYTES) / BYTES_PER_UNIT_COST);
        if (candidate.neverUsed() && bytesCost < NEVER_USED_DISCOUNT && random.getAsDouble() < NEVER_USED_PROBABILITY) {
            cost -= NEVER_USED_DISCOUNT;
        }
        return cost
                + switch (candidate.distance()) {
                    case SELF -> 0;
                    case SAME_ZONE -> SAME_ZONE_COST;
                    case SAME_REGION -> SAME_REGION_COST + bytesCost;
                    case OTHER_REGION -> OTHER_REGION_COST + bytesCost;
                };
    }

    /** What the caller stands to lose by time after a wait. */
    private static double latenessCost(
            Candidate candidate, RequestProfile profile, double averageMeanNanos, long waitNanos) {
        ServiceTimeDistribution serviceTime = serviceTimeOf(candidate, profile, averageMeanNanos);
        long delayNanos = waitNanos + transferNanos(candidate, profile);
        double lateProbability = serviceTime.probabilityOfExceeding(profile.objectiveRemainingNanos() - delayNanos);
        double missedProbability = serviceTime.probabilityOfExceeding(profile.deadlineRemainingNanos() - delayNanos);
        double remainingNanos = Math.max(1, profile.deadlineRemainingNanos());
        double elapsedFraction = Math.min(1, (delayNanos + serviceTime.medianNanos()) / remainingNanos);
        return LATE_COST * lateProbability + (1 - LATE_COST) * missedProbability + ELAPSED_TIME_COST * elapsedFraction;
    }

    private static ServiceTimeDistribution serviceTimeOf(
            Candidate candidate, RequestProfile profile, double averageMeanNanos) {
        for (ServiceTimeDistribution serviceTime : candidate.serviceTimes()) {
            if (serviceTime.requestClass().equals(profile.requestClass())) {
                return serviceTime;
            }
        }
        long meanNanos = candidate.load().meanNanos();
        double slowdown =
                meanNanos == 0 || averageMeanNanos == 0 ? 1 : Math.min(MAX_SLOWDOWN, meanNanos / averageMeanNanos);
        if (candidate.warmUpNanos() > 0) {
            slowdown *= WARM_UP_SLOWDOWN;
        }
        return ServiceTimeDistribution.fromMean(profile.requestClass(), profile.expectedNanos() * slowdown);
    }
}
