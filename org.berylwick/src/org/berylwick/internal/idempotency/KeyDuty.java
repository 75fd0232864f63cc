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
 * Claims and settles keys on threads of its own, for callers that must not block.
 *
 * <p>Requests for one slot go to one thread. The number of claims under way is bounded, and each has at most one
 * message in a ring as large as that bound: so a full house refuses new claims, truly as not run, and never loses the
 * settlement of an old one.
 */
public final class KeyDuty implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "idempotency-keys";

    /** Most claims under way at once; also the capacity of each thread's ring. */
    static final int MAX_OUTSTANDING_CLAIMS = 512;

    private static final EventLog EVENTS = new EventLog(KeyDuty.class);
    private static final int THREADS = 4;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long SETTLE_RETRY_PERIOD_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;
    private static final long CLOSE_POLL_INTERVAL_MILLIS = 10;

    private final KeyClaimStore claims;
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
     * A duty that begins with {@link #start()}.
     *
     * @param store stays the caller's to close
     * @param claimant instance name of the daemon
     */
    public KeyDuty(
            PlatformStore store, String claimant, Invariants invariants, MetricRegistry metrics, TimeSource time) {
        this.claims = new KeyClaimStore(store, claimant, time);
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
            workers.add(new KeyWorker(NAME + "-" + i, this, claims, time));
        }
    }

    /**
     * Tries to claim a key.
     *
     * @param deadline of the request; the claim gets two seconds of it at most
     * @return completed on a thread of this duty, never exceptionally
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

    /** Ends a granted claim, now or as soon as the store takes it; to be called exactly once for each. */
    public void settle(KeyClaim claim, Settlement settlement) {
        Deadline retryDeadline = Deadline.afterMillis(time, SETTLE_RETRY_PERIOD_MILLIS);
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

    /** Tells the outcome of a claim and gives the job that remains, if one does. */
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
                Deadline retryDeadline = Deadline.afterMillis(time, SETTLE_RETRY_PERIOD_MILLIS);
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

    /** Notes what became of an attempt to settle; true if it is over. */
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
                        () -> "the claim of key " + job.claim().key().hash().abbreviated()
                                + " vanished while its request ran");
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

    /** Claims made and not settled yet, with the requests that wait for their claim. */
    public int outstandingClaims() {
        return outstandingClaims.get();
    }

    /** Gives the settlements that are under way a few seconds to reach the store. */
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
