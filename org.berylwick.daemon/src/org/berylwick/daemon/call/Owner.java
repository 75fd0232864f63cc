package org.berylwick.daemon.call;

import java.util.Optional;
import java.util.function.Supplier;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/**
 * Has the own backend server run requests: admits them to its slots and says truthfully what became of each.
 *
 * <p>Requests come from other daemons by {@link OwnerService} and from the own entry directly; the outcomes are the
 * same. Any thread may call it.
 */
final class Owner {
    private static final long LEAVE_GRACE_MILLIS = 2_000;

    private final SlotLimiter limiter;
    private final BackendServerClient backendClient;
    private final Supplier<Member.State> memberState;
    private final CallMetrics metrics;
    private final Invariants invariants;
    private final TimeSource time;
    private volatile Deadline leaveGraceEnd;

    /**
     * The owner of one backend server.
     *
     * @param memberState whether the backend server takes requests
     */
    Owner(
            SlotLimiter limiter,
            BackendServerClient backendClient,
            Supplier<Member.State> memberState,
            CallMetrics metrics,
            Invariants invariants,
            TimeSource time) {
        this.limiter = limiter;
        this.backendClient = backendClient;
        this.memberState = memberState;
        this.metrics = metrics;
        this.invariants = invariants;
        this.time = time;
    }

    /** Has a request run. */
    Attempt start(OwnerRequest request) {
        OwnerRun run = new OwnerRun(this, request);
        run.start();
        return new Attempt(run.outcome(), run::cancel);
    }

    /** How loaded the backend server is, see {@link SlotLimiter#load()}. */
    int load() {
        return limiter.load();
    }

    /** Why no request may be sent now, if so. */
    Optional<RefusalReason> refusalReason(Deadline deadline) {
        Member.State currentState = memberState.get();
        if (currentState == Member.State.STARTING) {
            return Optional.of(RefusalReason.STARTING);
        }
        if (currentState == Member.State.LEAVING || currentState == Member.State.GONE) {
            return Optional.of(RefusalReason.LEAVING);
        }
        // A millisecond is the least that the wire can say; with less left the answer would come too late.
        return deadline.remainingMillis(time) <= 0 ? Optional.of(RefusalReason.DEADLINE) : Optional.empty();
    }

    /** Checks, as a request goes out, that the backend server did not leave some time ago. */
    void checkSendAllowed(String requestId) {
        Member.State currentState = memberState.get();
        boolean leaving = currentState == Member.State.LEAVING || currentState == Member.State.GONE;
        if (!leaving) {
            leaveGraceEnd = null;
        } else if (leaveGraceEnd == null) {
            leaveGraceEnd = Deadline.afterMillis(time, LEAVE_GRACE_MILLIS);
        }
        Deadline graceEnd = leaveGraceEnd;
        invariants.check(
                Invariant.NO_WORK_AFTER_LEAVE,
                graceEnd == null || !graceEnd.isPast(time),
                () -> "request " + requestId + " was sent to a backend server that is leaving");
    }

    /** Checks that nothing was sent of a request that is called not run. */
    void checkNotSent(String requestId, boolean sent) {
        invariants.check(
                Invariant.REFUSAL_TRUE, !sent, () -> "request " + requestId + " was sent and is called not run");
    }

    SlotLimiter limiter() {
        return limiter;
    }

    BackendServerClient backendClient() {
        return backendClient;
    }

    CallMetrics metrics() {
        return metrics;
    }

    TimeSource time() {
        return time;
    }
}
