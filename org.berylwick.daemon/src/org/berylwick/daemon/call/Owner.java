package org.berylwick.daemon.call;

import com.linecorp.armeria.common.ResponseHeaders;
import java.util.Optional;
import java.util.function.Supplier;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.limit.SlotLimiter;
import org.berylwick.internal.limit.StatedRate;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/**
 * Runs requests on the backend server of this daemon: admits them to its slots, forwards them and reports the outcome
 * of each. A request is reported as not run only if nothing of it was sent or if the backend server shed it.
 *
 * <p>Requests from other daemons arrive through {@link OwnerService}, those of the local entry through direct calls;
 * the outcomes are the same. Thread-safe.
 */
final class Owner {
    /**
     * Time after the first request sent in state LEAVING or GONE during which sending is no invariant breach; the state
     * may change between the check for refusal and the sending.
     */
    private static final long LEAVE_GRACE_MILLIS = 2_000;

    private final SlotLimiter limiter;
    private final BackendServerClient backendClient;
    private final Supplier<Member.State> memberState;
    private final CallMetrics metrics;
    private final Invariants invariants;
    private final TimeSource time;
    private final CrashGuard crashGuard;
    private volatile Deadline leaveGraceEnd;
    private volatile Runnable leaveListener = () -> {};

    /**
     * Creates the owner of one backend server.
     *
     * @param memberState supplies the member state of this daemon, which determines whether requests are accepted
     */
    Owner(
            SlotLimiter limiter,
            BackendServerClient backendClient,
            Supplier<Member.State> memberState,
            CallMetrics metrics,
            Invariants invariants,
            TimeSource time,
            CrashGuard crashGuard) {
        this.limiter = limiter;
        this.backendClient = backendClient;
        this.memberState = memberState;
        this.metrics = metrics;
        this.invariants = invariants;
        this.time = time;
        this.crashGuard = crashGuard;
    }

    /** Starts a request: waits for a slot and then sends it to the backend server. */
    Attempt start(OwnerRequest request) {
        OwnerRun run = new OwnerRun(this, request);
        run.start();
        return new Attempt(run.outcome(), run::cancel);
    }

    /** Sets what to do when the backend server states in a response that it is about to stop. */
    void setLeaveListener(Runnable listener) {
        leaveListener = listener;
    }

    /** Processes what the backend server states about itself in the head of a response. */
    void onResponseHead(ResponseHeaders headers) {
        limiter.setRate(StatedRate.parse(headers.getAll(CallHeaders.RATE)));
        if (CallHeaders.LEAVING_STATED.equals(headers.get(CallHeaders.LEAVING))) {
            leaveListener.run();
        }
    }

    /** Load of the backend server, see {@link SlotLimiter#load()}. */
    int load() {
        return limiter.load();
    }

    /** Returns the reason for which a request with this deadline must be refused now, if there is one. */
    Optional<RefusalReason> refusalReason(Deadline deadline) {
        Member.State currentState = memberState.get();
        if (currentState == Member.State.STARTING) {
            return Optional.of(RefusalReason.STARTING);
        }
        if (currentState == Member.State.LEAVING || currentState == Member.State.GONE) {
            return Optional.of(RefusalReason.LEAVING);
        }
        // Deadlines are transmitted in whole milliseconds; with less than one left the response would be late.
        return deadline.remainingMillis(time) <= 0 ? Optional.of(RefusalReason.DEADLINE) : Optional.empty();
    }

    /** Returns whether the backend server is leaving, so that the end of its process is planned. */
    boolean isLeaving() {
        Member.State currentState = memberState.get();
        return currentState == Member.State.LEAVING || currentState == Member.State.GONE;
    }

    /** Checks the invariant that no request is sent once the leave grace period has passed. */
    void checkSendAllowed(String requestId) {
        if (!isLeaving()) {
            leaveGraceEnd = null;
        } else if (leaveGraceEnd == null) {
            leaveGraceEnd = Deadline.afterMillis(time, LEAVE_GRACE_MILLIS);
        }
        Deadline graceEnd = leaveGraceEnd;
        invariants.check(
                Invariant.NO_WORK_AFTER_LEAVE,
                graceEnd == null || !graceEnd.isPast(time),
                () -> "request " + requestId + " was sent to a leaving backend server after the grace period");
    }

    /** Checks the invariant that nothing was sent of a request that is reported as not run. */
    void checkNotSent(String requestId, boolean sent) {
        invariants.check(
                Invariant.REFUSAL_TRUE, !sent, () -> "request " + requestId + " was sent but is reported as not run");
    }

    CrashGuard crashGuard() {
        return crashGuard;
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
