package org.berylwick.internal.idempotency;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.errors.ClaimError;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** A worker thread of {@link KeyDuty} with its job queue and the settlements that are to be retried. */
final class KeyWorker implements AutoCloseable {
    private static final long MAX_POLL_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long SETTLE_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 500;

    private final KeyDuty keyDuty;
    private final KeyClaimStore claimStore;
    private final TimeSource time;
    private final Ring<KeyJob> jobs = new Ring<>(KeyDuty.MAX_OUTSTANDING_CLAIMS);
    private final ArrayDeque<PendingRetry> retries = new ArrayDeque<>();
    private final Duty duty;

    private record PendingRetry(KeyJob.Settle job, Deadline notBefore) {}

    KeyWorker(String name, KeyDuty keyDuty, KeyClaimStore claimStore, TimeSource time) {
        this.keyDuty = keyDuty;
        this.claimStore = claimStore;
        this.time = time;
        this.duty = new Duty(name, this::runRound);
    }

    /** Adds a job to the queue without blocking. Thread-safe. */
    Ring.Offer offer(KeyJob job) {
        return jobs.offer(job);
    }

    /**
     * Executes at most one job from the queue and one retry, so that during a store outage neither new jobs nor retries
     * are delayed by more than one job of the other kind.
     */
    private void runRound() {
        jobs.poll(pollWaitNanos()).ifPresent(this::execute);
        PendingRetry nextRetry = retries.peek();
        if (nextRetry != null && nextRetry.notBefore().isPast(time)) {
            retries.remove();
            settleOrScheduleRetry(nextRetry.job());
        }
    }

    private long pollWaitNanos() {
        PendingRetry nextRetry = retries.peek();
        return nextRetry == null
                ? MAX_POLL_WAIT_NANOS
                : Math.min(MAX_POLL_WAIT_NANOS, nextRetry.notBefore().remainingNanos(time));
    }

    private void execute(KeyJob job) {
        switch (job) {
            case KeyJob.Claim claimJob ->
                keyDuty.completeClaim(claimJob, tryClaim(claimJob)).ifPresent(this::settleOrScheduleRetry);
            case KeyJob.Settle settleJob -> settleOrScheduleRetry(settleJob);
        }
    }

    private void settleOrScheduleRetry(KeyJob.Settle job) {
        if (!keyDuty.handleSettleOutcome(job, trySettle(job))) {
            retries.add(new PendingRetry(job, Deadline.afterMillis(time, RETRY_DELAY_MILLIS)));
        }
    }

    // If an exception escaped, the job would never complete: its request would wait forever, and its claim would count
    // as outstanding forever. An exception is therefore treated like a store call without a response.
    private ClaimOutcome tryClaim(KeyJob.Claim job) {
        try {
            return claimStore.claim(job.request(), job.deadline());
        } catch (RuntimeException e) {
            return new ClaimOutcome.Refused(new ClaimError.Undecided(e.toString()), Optional.empty());
        }
    }

    private SettleOutcome trySettle(KeyJob.Settle job) {
        try {
            return claimStore.settle(job.claim(), job.settlement(), Deadline.afterMillis(time, SETTLE_TIMEOUT_MILLIS));
        } catch (RuntimeException e) {
            return new SettleOutcome.RetryNeeded(new ClaimError.Undecided(e.toString()));
        }
    }

    @Override
    public void close() {
        duty.close();
    }
}
