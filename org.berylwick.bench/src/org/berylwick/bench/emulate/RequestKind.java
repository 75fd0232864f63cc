package org.berylwick.bench.emulate;

import java.util.Optional;
import org.berylwick.node.lib.RouteKind;

/**
 * Requests of one kind.
 *
 * @param name also of their route
 * @param service that runs them
 * @param kind what may be repeated
 * @param priority rank, 0 the highest
 * @param perSecond that callers of all zones send together; 0 for calls that only runs make
 * @param work of a run, on a backend server of usual speed
 * @param objectiveMillis latency objective, from the caller's first attempt
 * @param deadlineMillis that a caller waits
 * @param worth of an answer within its objective
 * @param lateWorth of a later one
 * @param answerBytes of an answer
 * @param bodyBytes of a request
 * @param callerRetries that a caller makes by itself
 * @param calls that a part of the runs make before they end
 */
public record RequestKind(
        String name,
        String service,
        RouteKind kind,
        int priority,
        double perSecond,
        Work work,
        long objectiveMillis,
        long deadlineMillis,
        double worth,
        double lateWorth,
        int answerBytes,
        int bodyBytes,
        int callerRetries,
        Optional<InnerCall> calls) {
    /**
     * How long runs take: log-normal, and a few much longer.
     *
     * @param meanMillis of most of them
     * @param spread standard deviation of the logarithm
     * @param tailShare part that takes longer
     * @param tailFactor how many times as long that is
     */
    public record Work(double meanMillis, double spread, double tailShare, double tailFactor) {}

    /**
     * Calls that a run makes together; if one fails, the run does.
     *
     * @param kind name of the called kind
     * @param times that it is called
     * @param share of the runs that make them
     */
    public record InnerCall(String kind, int times, double share) {}
}
