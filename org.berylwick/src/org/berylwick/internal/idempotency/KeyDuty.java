package org.berylwick.internal.idempotency;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.errors.ClaimError;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.PlatformStore;

/**
 * Claims and settles keys on its own worker threads, for callers that must not block.
 *
 * <p>All jobs for a slot run on the same thread. The number of outstanding claims is limited, and each claim has at
 * most one job in its worker's queue, whose capacity equals that limit. At the limit, new claims are refused, so that
 * their requests are correctly reported as not run; the settlement of an existing claim always finds room in the queue.
 */
public final class KeyDuty implements KernelService {
    /** The name under which the service is registered in the kernel. */
    public static final String NAME = "idempotency-keys";

    /** Maximum number of outstanding claims; also the capacity of each worker's queue. */
    static final int MAX_OUTSTANDING_CLAIMS = 512;

    private static final EventLog EVENTS = new EventLog(KeyDuty.class);
    private static final int THREADS = 4;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long SETTLE_RETRY_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;
    private static final long CLOSE_POLL_INTERVAL_MILLIS = 10;

    private final KeyClaimStore claimStore;
    private final Invariants invariants;
    private final TimeSource time;
    private final AtomicInteger outstandingClaims = new AtomicInteger();
    private final List<KeyWorker> workers = new ArrayList<>();
    private final Counter granted;
    private final Counter taken;
    private final Counter refused;
    private final Counter settled;
    private final Counter settleRetries;
    private final Counter notSettled;
    private final Timer claimTime;

    /**
     * Creates the service; its worker threads start with {@link #start()}.
     *
     * @param store the platform's store; not closed by this class
     * @param claimant the instance name of the daemon
     */
    public KeyDuty(
            PlatformStore store, String claimant, Invariants invariants, MetricRegistry metrics, TimeSource time) {
        this.claimStore = new KeyClaimStore(store, claimant, time);
        this.invariants = invariants;
        this.time = time;
        granted = metrics.counter(KeyMetrics.GRANTED);
        taken = metrics.counter(KeyMetrics.TAKEN);
        refused = metrics.counter(KeyMetrics.REFUSED);
        settled = metrics.counter(KeyMetrics.SETTLED);
        settleRetries = metrics.counter(KeyMetrics.SETTLE_RETRIES);
        notSettled = metrics.counter(KeyMetrics.NOT_SETTLED);
        claimTime = metrics.timer(KeyMetrics.CLAIM_TIME);
        metrics.register(KeyMetrics.OUTSTANDING, (Gauge<Integer>) outstandingClaims::get);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        for (int i = 0; i < THREADS; i++) {
            workers.add(new KeyWorker(NAME + "-" + i, this, claimStore, time));
        }
    }

    /**
     * Tries to claim a key.
     *
     * @param deadline the deadline of the request; the claim is given at most two seconds of it
     * @return a future that is never completed exceptionally; it is completed on a worker thread, or already on return
     *     if there are too many outstanding claims
     */
    public CompletableFuture<ClaimOutcome> claim(KeyRequest request, Deadline deadline) {
        CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
        if (outstandingClaims.incrementAndGet() > MAX_OUTSTANDING_CLAIMS) {
            refuse(request, outcome, new ClaimError.TooManyClaims());
            return outcome;
        }
        Deadline claimDeadline = deadline.earlier(Deadline.afterMillis(time, CLAIM_TIMEOUT_MILLIS));
        KeyJob job = new KeyJob.Claim(request, claimDeadline, claimTime.time(), outcome);
        if (workerFor(request.key()).offer(job) == Ring.Offer.FULL) {
            refuse(request, outcome, new ClaimError.TooManyClaims());
        }
        return outcome;
    }

    /**
     * Settles a granted claim in the background, with retries while the store fails. Must be called exactly once for
     * each granted claim.
     */
    public void settle(KeyClaim claim, Settlement settlement) {
        Deadline retryDeadline = Deadline.afterMillis(time, SETTLE_RETRY_TIMEOUT_MILLIS);
        KeyJob.Settle job = new KeyJob.Settle(claim, settlement, retryDeadline);
        if (workerFor(claim.key()).offer(job) == Ring.Offer.FULL) {
            abandonSettlement(job, new ClaimError.TooManyClaims());
        }
    }

    private KeyWorker workerFor(KeyId key) {
        return workers.get(Math.floorMod(key.slotObjectKey().hashCode(), THREADS));
    }

    private void refuse(KeyRequest request, CompletableFuture<ClaimOutcome> outcome, ClaimError error) {
        outstandingClaims.decrementAndGet();
        refused.inc();
        EVENTS.log(CallEvent.KEY_NOT_CLAIMED, request.key().hash().abbreviated(), error);
        outcome.complete(new ClaimOutcome.Refused(error, Optional.empty()));
    }

    /**
     * Completes a claim with its outcome.
     *
     * @return the job that releases the claim, if it was refused but may be in the store
     */
    Optional<KeyJob.Settle> completeClaim(KeyJob.Claim job, ClaimOutcome outcome) {
        job.timerContext().stop();
        Optional<KeyJob.Settle> releaseJob = Optional.empty();
        switch (outcome) {
            case ClaimOutcome.Granted ignored -> granted.inc();
            case ClaimOutcome.Taken ignored -> {
                taken.inc();
                outstandingClaims.decrementAndGet();
            }
            case ClaimOutcome.Refused(ClaimError error, Optional<KeyClaim> toRelease) -> {
                refused.inc();
                EVENTS.log(CallEvent.KEY_NOT_CLAIMED, job.request().key().hash().abbreviated(), error);
                Deadline retryDeadline = Deadline.afterMillis(time, SETTLE_RETRY_TIMEOUT_MILLIS);
                releaseJob = toRelease.map(
                        claimToRelease -> new KeyJob.Settle(claimToRelease, new Settlement.Release(), retryDeadline));
                if (releaseJob.isEmpty()) {
                    outstandingClaims.decrementAndGet();
                }
            }
        }
        job.outcome().complete(outcome);
        return releaseJob;
    }

    /**
     * Records the outcome of an attempt to settle a claim.
     *
     * @return true if no further attempt is to be made
     */
    boolean handleSettleOutcome(KeyJob.Settle job, SettleOutcome outcome) {
        boolean isKeep = job.settlement() instanceof Settlement.Keep;
        switch (outcome) {
            case SettleOutcome.Settled() -> {
                if (isKeep) {
                    invariants.check(Invariant.AT_MOST_ONCE, true, () -> "");
                }
                settled.inc();
                outstandingClaims.decrementAndGet();
                return true;
            }
            case SettleOutcome.ClaimLost() -> {
                invariants.check(
                        Invariant.AT_MOST_ONCE,
                        false,
                        () -> "claim of key " + job.claim().key().hash().abbreviated()
                                + " disappeared from the store before it was settled");
                outstandingClaims.decrementAndGet();
                return true;
            }
            case SettleOutcome.RetryNeeded(ClaimError error) -> {
                if (job.retryDeadline().isPast(time)) {
                    abandonSettlement(job, error);
                    return true;
                }
                settleRetries.inc();
                return false;
            }
        }
    }

    private void abandonSettlement(KeyJob.Settle job, ClaimError error) {
        notSettled.inc();
        EVENTS.log(
                CallEvent.KEY_NOT_SETTLED,
                job.claim().key().hash().abbreviated(),
                job.settlement().getClass().getSimpleName(),
                error);
        outstandingClaims.decrementAndGet();
    }

    /** Returns the number of claims that are not settled yet, including those that are still being made. */
    public int outstandingClaims() {
        return outstandingClaims.get();
    }

    /** Waits a few seconds for outstanding claims to be settled in the store, then stops the worker threads. */
    @Override
    public void close() {
        Deadline deadline = Deadline.afterMillis(time, CLOSE_TIMEOUT_MILLIS);
        while (outstandingClaims.get() > 0 && !deadline.isPast(time)) {
            try {
                TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        workers.forEach(KeyWorker::close);
    }
}
