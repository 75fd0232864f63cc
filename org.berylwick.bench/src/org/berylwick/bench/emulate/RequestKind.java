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
 * @param millis until an answer is wanted, and until a caller leaves
 * @param value of an answer
 * @param bytes of an answer and of a request
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
        Millis millis,
        Value value,
        Bytes bytes,
        int callerRetries,
        Optional<InnerCall> calls) {
    private static final Bytes USUAL_BYTES = new Bytes(5_000, 0);

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
     * Latency objective and deadline, from a caller's first attempt.
     *
     * @param timeout of the route, from each attempt
     */
    public record Millis(long objective, long deadline, long timeout) {
        /** With a route that waits as long as its callers. */
        public Millis(long objective, long deadline) {
            this(objective, deadline, deadline);
        }
    }

    /** What an answer within its objective is worth, and a later one. */
    public record Value(double full, double late) {}

    /** Sizes of bodies. */
    public record Bytes(int answer, int body) {}

    /**
     * Calls that a run makes; if one fails, the run does.
     *
     * @param kind name of the called kind
     * @param times that it is called
     * @param share of the runs that make them
     * @param together whether all are made at once, and not one after the other
     */
    public record InnerCall(String kind, int times, double share, boolean together) {}

    /** A request that may be repeated, of the usual worth. */
    static RequestKind read(String name, String service, double perSecond, Work work, Millis millis) {
        return new RequestKind(
                name,
                service,
                RouteKind.IDEMPOTENT,
                2,
                perSecond,
                work,
                millis,
                new Value(1, 0.3),
                USUAL_BYTES,
                1,
                Optional.empty());
    }

    /** A request that must run once, of double worth and a higher rank. */
    static RequestKind order(String name, String service, double perSecond, Work work, Millis millis) {
        return read(name, service, perSecond, work, millis)
                .as(RouteKind.NON_IDEMPOTENT, 1, new Value(2, 0.6))
                .withBytes(5_000, 300);
    }

    /** One that only runs make; its caller does not repeat it. */
    static RequestKind probe(String name, String service, double meanMillis) {
        Millis millis = new Millis((long) (meanMillis * 4), (long) (meanMillis * 13));
        return read(name, service, 0, new Work(meanMillis, 0.5, 0, 1), millis)
                .as(RouteKind.IDEMPOTENT, 3, new Value(0, 0))
                .withBytes(1_000, 0)
                .withRetries(0);
    }

    /** The same of another kind, rank and worth. */
    RequestKind as(RouteKind another, int rank, Value worth) {
        return copy(another, rank, worth, bytes, callerRetries, calls);
    }

    /** The same with bodies of another size. */
    RequestKind withBytes(int answer, int body) {
        return copy(kind, priority, value, new Bytes(answer, body), callerRetries, calls);
    }

    /** The same with so many repeats by its callers. */
    RequestKind withRetries(int retries) {
        return copy(kind, priority, value, bytes, retries, calls);
    }

    /** The same with calls that a part of its runs make together. */
    RequestKind calling(String called, int times, double share) {
        return copy(
                kind, priority, value, bytes, callerRetries, Optional.of(new InnerCall(called, times, share, true)));
    }

    /** The same with calls that a part of its runs make one after the other. */
    RequestKind callingInTurn(String called, int times, double share) {
        return copy(
                kind, priority, value, bytes, callerRetries, Optional.of(new InnerCall(called, times, share, false)));
    }

    private RequestKind copy(
            RouteKind another, int rank, Value worth, Bytes size, int retries, Optional<InnerCall> inner) {
        return new RequestKind(name, service, another, rank, perSecond, work, millis, worth, size, retries, inner);
    }

    long objectiveNanos() {
        return millis.objective() * 1_000_000L;
    }

    long deadlineNanos() {
        return millis.deadline() * 1_000_000L;
    }

    long timeoutNanos() {
        return millis.timeout() * 1_000_000L;
    }
}
