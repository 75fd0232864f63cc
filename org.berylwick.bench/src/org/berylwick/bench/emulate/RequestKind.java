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

    /** How soon an answer is wanted, and until when a caller waits, from its first attempt. */
    public record Millis(long objective, long deadline) {}

    /**
     * Calls that a run makes together; if one fails, the run does.
     *
     * @param kind name of the called kind
     * @param times that it is called
     * @param share of the runs that make them
     */
    public record InnerCall(String kind, int times, double share) {}

    /**
     * A request that may be repeated, of the usual worth.
     *
     * @param millis latency objective and deadline
     */
    static RequestKind read(String name, String service, double perSecond, Work work, Millis millis) {
        return new RequestKind(
                name,
                service,
                RouteKind.IDEMPOTENT,
                2,
                perSecond,
                work,
                millis.objective(),
                millis.deadline(),
                1,
                0.3,
                5_000,
                0,
                1,
                Optional.empty());
    }

    /**
     * A request that must run once, of double worth and a higher rank.
     *
     * @param millis latency objective and deadline
     */
    static RequestKind order(String name, String service, double perSecond, Work work, Millis millis) {
        return new RequestKind(
                name,
                service,
                RouteKind.NON_IDEMPOTENT,
                1,
                perSecond,
                work,
                millis.objective(),
                millis.deadline(),
                2,
                0.6,
                5_000,
                300,
                1,
                Optional.empty());
    }

    /** One that only runs make; its caller does not repeat it. */
    static RequestKind probe(String name, String service, double meanMillis) {
        return new RequestKind(
                name,
                service,
                RouteKind.IDEMPOTENT,
                3,
                0,
                new Work(meanMillis, 0.5, 0, 1),
                (long) (meanMillis * 4),
                (long) (meanMillis * 13),
                0,
                0,
                1_000,
                0,
                0,
                Optional.empty());
    }

    /** The same with another size. */
    RequestKind withBytes(int answer, int body) {
        return new RequestKind(
                name,
                service,
                kind,
                priority,
                perSecond,
                work,
                objectiveMillis,
                deadlineMillis,
                worth,
                lateWorth,
                answer,
                body,
                callerRetries,
                calls);
    }

    /** The same of another rank and worth, and of another kind of repeats. */
    RequestKind as(RouteKind another, int rank, double full, double late) {
        return new RequestKind(
                name,
                service,
                another,
                rank,
                perSecond,
                work,
                objectiveMillis,
                deadlineMillis,
                full,
                late,
                answerBytes,
                bodyBytes,
                callerRetries,
                calls);
    }

    /** The same with so many repeats by its callers. */
    RequestKind withRetries(int retries) {
        return new RequestKind(
                name,
                service,
                kind,
                priority,
                perSecond,
                work,
                objectiveMillis,
                deadlineMillis,
                worth,
                lateWorth,
                answerBytes,
                bodyBytes,
                retries,
                calls);
    }

    /** The same with calls that a part of its runs make. */
    RequestKind calling(String called, int times, double share) {
        return new RequestKind(
                name,
                service,
                kind,
                priority,
                perSecond,
                work,
                objectiveMillis,
                deadlineMillis,
                worth,
                lateWorth,
                answerBytes,
                bodyBytes,
                callerRetries,
                Optional.of(new InnerCall(called, times, share)));
    }
}
