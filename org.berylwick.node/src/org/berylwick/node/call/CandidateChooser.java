package org.berylwick.node.call;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * Chooses the node with the lowest expected cost to the caller to run a request. Keeps no state between requests.
 *
 * <p>Backend servers differ in speed, queue lengths are known only as last reported, and traffic between availability
 * zones is expensive. The cost combines these factors as fractions of the value of a request: the probability that it
 * exceeds its latency objective or its deadline, given the service time distribution of the backend server; the
 * probability that it is lost; and the bytes transferred between zones. It uses probabilities rather than mean times,
 * since a mean hides the tail that misses the objective.
 *
 * <p>Where backend servers state their current speed, candidates are ranked by the time until completion instead. It
 * differs even where all would be in time, so that requests move to the servers that are fast at this moment before
 * queues form at the others.
 */
public final class CandidateChooser {
    /** Cost of a response after the latency objective, relative to the cost of no response. */
    private static final double LATE_COST = 0.7;
    /** Cost of a lost request: a non-idempotent one fails, and any other takes up time and a slot again. */
    private static final double LOSS_COST = 1;
    /** Bytes transferred between availability zones that cost as much as one failed request. */
    private static final double BYTES_PER_UNIT_COST = 16_384;
    /** Upper limit of the cost of bytes: no caller is refused, and few are served late, to save traffic. */
    private static final double MAX_BYTES_COST = 0.68;
    /** Size of the headers of a request and its response. */
    private static final int HEADER_BYTES = 700;

    private static final double SAME_ZONE_COST = 0.002;
    private static final double SAME_REGION_COST = 0.004;
    private static final double OTHER_REGION_COST = 0.1;
    /** Prefers the faster of otherwise equal candidates, which saves capacity where it is scarce. */
    private static final double ELAPSED_TIME_COST = 0.05;
    /** Exceeds all other costs, so that a suspect node is chosen only if there is no other candidate. */
    private static final double SUSPECT_COST = 3;
    /** Random addition to each cost; without it, all nodes would choose the same one of equal candidates. */
    private static final double MAX_COST_JITTER = 0.004;
    /** Discount for a backend server that this node has never used, so that a new one is soon known to work. */
    private static final double NEVER_USED_DISCOUNT = 0.25;

    /** Probability with which {@link #NEVER_USED_DISCOUNT} applies to a request. */
    private static final double NEVER_USED_PROBABILITY = 0.1;
    /** A backend server that has just started takes about twice as long. */
    private static final double WARM_UP_SLOWDOWN = 2;

    private static final double MAX_SLOWDOWN = 4;
    /** Tolerance for load data that is some milliseconds old, as a fraction of the latency objective. */
    private static final double STALENESS_MARGIN = 0.02;
    /**
     * Cost of an immediate refusal with a Retry-After time to a caller that retries. A first attempt that would almost
     * certainly be late is better refused, as others would wait behind it. A caller that does not retry loses the whole
     * value of the request.
     */
    private static final double REFUSAL_COST = 0.65;

    /** Upper bound of the cost of the time until completion; lower than that of a refusal. */
    private static final double MAX_COMPLETION_COST = REFUSAL_COST - 0.01;

    private static final int BISECTION_STEPS = 6;

    private final DoubleSupplier random;

    /** @param random supplies uniformly distributed numbers in [0, 1) */
    public CandidateChooser(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * The node to send a request to.
     *
     * @param candidate the chosen node
     * @param maxWaitNanos longest wait there that still costs less than the next best node or a refusal
     */
    public record Choice(Candidate candidate, long maxWaitNanos) {}

    /**
     * Chooses the candidate with the lowest cost.
     *
     * @param candidates nodes whose backend server provides the service of the request
     * @param profile properties of the request
     * @return the choice, or empty if there is no candidate or the request is better refused
     */
    Optional<Choice> choose(List<Candidate> candidates, RequestProfile profile) {
        double averageMeanNanos = averageMeanNanos(candidates);
        double refusalCost = 1 - (1 - REFUSAL_COST) * profile.callerRetryProbability();
        boolean bySpeed = anyStatesSpeed(candidates);
        Candidate best = null;
        double bestCost = Double.MAX_VALUE;
        double secondBestCost = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            long waitNanos = expectedWaitNanos(candidate, profile, averageMeanNanos);
            double latenessCost = latenessCost(candidate, profile, averageMeanNanos, waitNanos);
            boolean better = profile.isCall() || latenessCost <= refusalCost;
            if (waitNanos > 0 && (waitNanos > profile.maxWaitNanos() || !better)) {
                continue;
            }
            double timeCost = bySpeed ? completionCost(candidate, profile, averageMeanNanos, waitNanos) : latenessCost;
            double cost = timeIndependentCost(candidate, profile) + timeCost + random.getAsDouble() * MAX_COST_JITTER;
            if (cost < bestCost) {
                secondBestCost = bestCost;
                bestCost = cost;
                best = candidate;
            } else if (cost < secondBestCost) {
                secondBestCost = cost;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        long waitNanos = expectedWaitNanos(best, profile, averageMeanNanos);
        TimeCost timeCost = bySpeed
                ? (c, nanos) -> Math.min(MAX_COMPLETION_COST, completionCost(c, profile, averageMeanNanos, nanos))
                : (c, nanos) -> latenessCost(c, profile, averageMeanNanos, nanos);
        double bestTimeCost = timeCost.of(best, waitNanos);
        double costMargin = profile.finalAttempt()
                ? refusalCost - bestTimeCost
                : Math.min(refusalCost - bestTimeCost, secondBestCost - bestCost);
        return Optional.of(new Choice(
                best,
                longestAcceptableWaitNanos(
                        best, profile, timeCost, waitNanos, bestTimeCost + Math.max(0, costMargin))));
    }

    /** The part of the cost that depends on the wait. */
    private interface TimeCost {
        double of(Candidate candidate, long waitNanos);
    }

    private static boolean anyStatesSpeed(List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (candidate.slowdown().stated()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the expected wait for a slot or the link, whichever is longer. The wait for the link is that for the data
     * in transit to the VM and, if the transfer is large, that for the responses to be sent before this one, less the
     * service time.
     */
    private static long expectedWaitNanos(Candidate candidate, RequestProfile profile, double averageMeanNanos) {
        LinkLoad link = candidate.link();
        long waitNanos = Math.max(candidate.waitNanos(), link.inTransitNanos());
        if (!link.isLarge(profile.expectedBytes())) {
            return waitNanos;
        }
        return Math.max(
                waitNanos,
                link.pendingResponsesNanos()
                        - serviceTimeOf(candidate, profile, averageMeanNanos).medianNanos());
    }

    /** Returns how long the request body and the response take over the link of a remote VM. */
    private static long transferNanos(Candidate candidate, RequestProfile profile) {
        return candidate.link().transferNanos(profile.expectedBytes());
    }

    /**
     * Returns the longest wait with which the cost of time stays within a limit, found by bisection, plus the tolerance
     * for stale load data.
     */
    private static long longestAcceptableWaitNanos(
            Candidate candidate, RequestProfile profile, TimeCost timeCost, long minWaitNanos, double maxCost) {
        long lowNanos = minWaitNanos;
        long highNanos = Math.max(minWaitNanos, profile.deadlineRemainingNanos());
        for (int i = 0; i < BISECTION_STEPS; i++) {
            long middleNanos = lowNanos + (highNanos - lowNanos) / 2;
            if (timeCost.of(candidate, middleNanos) <= maxCost) {
                lowNanos = middleNanos;
            } else {
                highNanos = middleNanos;
            }
        }
        long stalenessNanos = (long)
                (STALENESS_MARGIN * Math.max(profile.objectiveRemainingNanos(), profile.deadlineRemainingNanos() / 4));
        return Math.min(Math.max(0, profile.maxWaitNanos()), lowNanos + stalenessNanos);
    }

    /** Returns the average of the mean service times of the candidates, 0 if none is known. */
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

    /** Returns the part of the cost that does not depend on time. */
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

    /** Returns the expected cost of a late or missing response after the given wait. */
    private static double latenessCost(
            Candidate candidate, RequestProfile profile, double averageMeanNanos, long waitNanos) {
        ServiceTimeDistribution serviceTime =
                atCurrentSpeed(serviceTimeOf(candidate, profile, averageMeanNanos), candidate.slowdown(), waitNanos);
        long delayNanos = waitNanos + transferNanos(candidate, profile);
        double lateProbability = serviceTime.probabilityOfExceeding(profile.objectiveRemainingNanos() - delayNanos);
        double missedProbability = serviceTime.probabilityOfExceeding(profile.deadlineRemainingNanos() - delayNanos);
        double remainingNanos = Math.max(1, profile.deadlineRemainingNanos());
        double elapsedFraction = Math.min(1, (delayNanos + serviceTime.medianNanos()) / remainingNanos);
        return LATE_COST * lateProbability + (1 - LATE_COST) * missedProbability + ELAPSED_TIME_COST * elapsedFraction;
    }

    /** Returns the expected time until completion, as a fraction of the time until the deadline. */
    private static double completionCost(
            Candidate candidate, RequestProfile profile, double averageMeanNanos, long waitNanos) {
        ServiceTimeDistribution serviceTime =
                atCurrentSpeed(serviceTimeOf(candidate, profile, averageMeanNanos), candidate.slowdown(), waitNanos);
        double nanos = waitNanos + transferNanos(candidate, profile) + serviceTime.meanNanos();
        return Math.min(1, nanos / Math.max(1, profile.deadlineRemainingNanos()));
    }

    /** Returns the service time of a request that starts after a wait. */
    private static ServiceTimeDistribution atCurrentSpeed(
            ServiceTimeDistribution usual, Slowdown slowdown, long waitNanos) {
        if (slowdown.factor() == 1 || usual.medianNanos() == 0) {
            return usual;
        }
        long nanos = slowdown.after(waitNanos).expectedNanos(usual.medianNanos());
        return usual.scaledBy((double) nanos / usual.medianNanos());
    }

    /**
     * Returns the measured service time of the request class at a candidate, or else an estimate from the speed of its
     * backend server relative to the average.
     */
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
