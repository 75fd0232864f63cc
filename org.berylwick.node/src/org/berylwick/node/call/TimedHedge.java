package org.berylwick.node.call;

import java.util.Optional;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;

/** Hedges one call when the policy says so, and counts what became of the hedge; confined to the event loop. */
final class TimedHedge implements CallHedge {
    /** Number of times that a hedge is considered, after which the first attempt is probably near its end. */
    private static final int MAX_CHECKS = 16;
    /** Time between two of these, as a fraction of the median service time of the first attempt. */
    private static final double CHECK_INTERVAL_SHARE = 0.25;

    private static final long MIN_CHECK_INTERVAL_NANOS = 5_000_000L;

    private final EntryContext context;
    private final HedgePolicy policy;
    private final CallSpec spec;
    private final EntryCall call;
    private Optional<EntryAttempt> watched = Optional.empty();
    private Optional<EntryAttempt> hedge = Optional.empty();
    private Optional<Clock.Timer> timer = Optional.empty();
    private long dueAt;
    private int checks;
    private boolean resultCounted;
    private long sentAt;

    private TimedHedge(EntryContext context, HedgePolicy policy, CallSpec spec, EntryCall call) {
        this.context = context;
        this.policy = policy;
        this.spec = spec;
        this.call = call;
    }

    /** Returns the hedge of a call, {@link CallHedge#NONE} if calls are not hedged. */
    static CallHedge of(EntryContext context, CallSpec spec, EntryCall call) {
        return context.hedging().isPresent()
                ? new TimedHedge(context, context.hedging().get(), spec, call)
                : CallHedge.NONE;
    }

    @Override
    public void onCallStarted() {
        policy.onRequest(spec.service(), context.clock().now());
    }

    @Override
    public void watch(EntryAttempt attempt) {
        stopWatching(false);
        if (hedge.isPresent() || !spec.kind().isRetryable()) {
            return;
        }
        dueAt = policy.dueAt(dueAttempt(attempt), context.clock().now());
        if (dueAt != HedgePolicy.NEVER) {
            watched = Optional.of(attempt);
            schedule(attempt, dueAt);
        }
    }

    private void schedule(EntryAttempt attempt, long at) {
        checks++;
        timer = Optional.of(context.clock().schedule(at, () -> call.onHedgeDue(attempt)));
    }

    /** Considers the hedge again a little later: what prevents it, such as a lack of slots, is often over soon. */
    private void scheduleCheck(EntryAttempt attempt) {
        Optional<ServiceTimeDistribution> time = attempt.candidate().serviceTime(spec.requestClass());
        if (checks < MAX_CHECKS && time.isPresent()) {
            long now = context.clock().now();
            long intervalNanos = policy.isShort(spec.service(), now)
                    ? HedgePolicy.SHORTAGE_NANOS
                    : (long) (CHECK_INTERVAL_SHARE * time.get().medianNanos());
            schedule(attempt, now + Math.max(MIN_CHECK_INTERVAL_NANOS, intervalNanos));
        }
    }

    private HedgePolicy.DueAttempt dueAttempt(EntryAttempt attempt) {
        return new HedgePolicy.DueAttempt(
                spec.service(),
                spec.requestClass(),
                spec.expectedResponseBytes() + spec.body().length(),
                spec.deadlineAt(),
                attempt.candidate());
    }

    @Override
    public Optional<CandidateChooser.Choice> choose(NodeSelection selection, EntryAttempt first, long now) {
        boolean excluded = first.hasHead()
                || context.quarantine().generation(spec.uri(), spec::fingerprint) > 0
                || !spec.kind().isRetryable();
        if (excluded) {
            return Optional.empty();
        }
        Optional<CandidateChooser.Choice> choice = spec.body().isComplete()
                        && !policy.isShort(spec.service(), now)
                        && policy.isWithinShare(spec.service(), now)
                ? selection.chooseForHedge(policy, dueAttempt(first), now)
                : Optional.empty();
        if (choice.isEmpty() || !context.retryBudget().tryAcquire(spec.service(), now)) {
            scheduleCheck(first);
            return Optional.empty();
        }
        sentAt = now;
        policy.onSent(spec.service(), now);
        return choice;
    }

    @Override
    public void onSent(EntryAttempt first, EntryAttempt sent) {
        hedge = Optional.of(sent);
        resultCounted = false;
        context.counters().increment(NodeMetricNames.HEDGE_SENT);
        context.log()
                .write(
                        Event.REQUEST_HEDGED,
                        "id",
                        spec.id(),
                        "service",
                        spec.service(),
                        "at",
                        first.candidate().key(),
                        "hedge",
                        sent.candidate().key(),
                        "afterMs",
                        (context.clock().now() - first.startedAt()) / 1_000_000);
    }

    @Override
    public boolean isHedge(EntryAttempt attempt) {
        return hedge.isPresent() && hedge.get() == attempt;
    }

    @Override
    public void onShortage() {
        policy.onShortage(spec.service(), context.clock().now());
    }

    @Override
    public void onRefused(EntryAttempt attempt, Refusal refusal) {
        if (refusal.reason() == Refusal.Reason.BUSY || refusal.rejectedByBackend()) {
            policy.onRefused(spec.service());
        }
        if (isHedge(attempt)) {
            countResult(NodeMetricNames.HEDGE_NOT_RUN);
        }
        onEnded(attempt, false);
    }

    @Override
    public void onNotRun(EntryAttempt first) {
        long now = context.clock().now();
        context.retryBudget().release(spec.service(), sentAt, now);
        policy.onNotRun(spec.service(), sentAt, now);
        hedge = Optional.empty();
        scheduleCheck(first);
    }

    @Override
    public void onEnded(EntryAttempt attempt, boolean completed) {
        if (watched.isPresent() && watched.get() == attempt) {
            stopWatching(completed);
        }
    }

    @Override
    public void onAnswered(EntryAttempt attempt) {
        if (isHedge(attempt)) {
            countResult(NodeMetricNames.HEDGE_WON);
        }
    }

    @Override
    public void onCallEnded() {
        stopWatching(false);
        if (hedge.isPresent()) {
            countResult(NodeMetricNames.HEDGE_WASTED);
        }
    }

    private void countResult(String counter) {
        if (!resultCounted) {
            resultCounted = true;
            context.counters().increment(counter);
        }
    }

    private void stopWatching(boolean completed) {
        if (watched.isEmpty()) {
            return;
        }
        EntryAttempt attempt = watched.get();
        watched = Optional.empty();
        timer.ifPresent(Clock.Timer::cancel);
        long now = context.clock().now();
        if (now > dueAt) {
            policy.onLateAttemptEnded(dueAttempt(attempt), now - dueAt, completed);
        }
    }
}
