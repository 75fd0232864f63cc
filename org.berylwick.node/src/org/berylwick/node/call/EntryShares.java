package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Shares of the organisations whose requests an entry node sends to a service, by the refusals that it received. Lets
 * the entry node refuse immediately what owners would refuse. Confined to the event loop.
 */
final class EntryShares {
    /** Longest time for which an organisation above its share is refused without another attempt. */
    private static final long MAX_HOLD_NANOS = 120_000_000L;

    /**
     * Demand as a multiple of the share up to which other nodes are tried after a refusal. Most requests of such an
     * organisation find a slot at one of them.
     */
    private static final double MIN_EXCESS = 1.5;
    /** Timeouts are stated in milliseconds; a reduction by less may be rounding. */
    private static final long MIN_REDUCTION_NANOS = 5_000_000L;

    private static final long MIN_HOLD_NANOS = 20_000_000L;
    /** Maximum number of services; accounts start anew beyond it. */
    private static final int MAX_SERVICES = 256;

    private final Map<String, OrganisationShares> byService = new HashMap<>();
    private final Instruments instruments;

    /** @param instruments counters and event log */
    EntryShares(Instruments instruments) {
        this.instruments = instruments;
    }

    /**
     * Counts a request.
     *
     * @param spec the request
     * @param timeoutReductionNanos by how much its timeout is shorter than usual
     * @param estimates supplies the expected response time, which is the cost of the request
     * @param route route of the request
     * @param now current time
     */
    CallShare onRequest(CallSpec spec, long timeoutReductionNanos, ResponseEstimator estimates, Route route, long now) {
        if (!spec.organisation().isPresent()) {
            return CallShare.NONE;
        }
        if (byService.size() >= MAX_SERVICES && !byService.containsKey(spec.service())) {
            byService.clear();
        }
        OrganisationShares shares = byService.computeIfAbsent(spec.service(), s -> new OrganisationShares());
        OrganisationShares.Account account = shares.account(spec.organisation().name(), spec.priority(), now);
        long costNanos = (long) estimates.expectedNanos(route);
        boolean aboveShare = shares.isAboveShare(account, costNanos, now);
        // Organisations within their share get the tolerance that other estimates use, since a demand that is not
        // counted hides a shortage.
        boolean repeated = aboveShare
                ? timeoutReductionNanos >= MIN_REDUCTION_NANOS
                : CallerWaitEstimator.withoutTolerance(timeoutReductionNanos) > 0;
        if (!repeated) {
            shares.addDemand(account, costNanos, now);
        }
        shares.addUse(account, costNanos, now);
        return new OrganisationCallShare(this, shares, account, costNanos, now, timeoutReductionNanos, aboveShare);
    }

    /** The part of a call in the share of its organisation. */
    interface CallShare {
        /** Share of a call without an organisation, which nothing limits. */
        CallShare NONE = new CallShare() {};

        /** Returns how long the call may wait for slots, given the usual time. */
        default long maxWaitNanos(long usualNanos, long now) {
            return usualNanos;
        }

        /** Whether the call is refused without an attempt, because its caller returned earlier than it was told. */
        default boolean isReturnedEarly() {
            return false;
        }

        /** Records that an owner refused an attempt; returns whether no other node should be tried. */
        default boolean onRefusedByOwner(Refusal refusal, long now) {
            return false;
        }

        /** Records that the caller is refused; returns the factor by which it should return later than usual. */
        default double onRefused(CallSpec spec, long now) {
            return 1;
        }
    }

    private record OrganisationCallShare(
            EntryShares entry,
            OrganisationShares shares,
            OrganisationShares.Account account,
            long costNanos,
            long chargedAt,
            long timeoutReductionNanos,
            boolean aboveShare)
            implements CallShare {
        /** A request of an organisation above its share waits for this part of the usual time. */
        private static final int WAIT_DIVISOR = 3;

        private static final double MAX_RETURN_FACTOR = 5;

        @Override
        public long maxWaitNanos(long usualNanos, long now) {
            if (!aboveShare) {
                return usualNanos;
            }
            return now < account.heldUntil() ? 0 : usualNanos / WAIT_DIVISOR;
        }

        @Override
        public boolean isReturnedEarly() {
            return aboveShare
                    && timeoutReductionNanos >= MIN_REDUCTION_NANOS
                    && timeoutReductionNanos < account.leastReturnNanos();
        }

        @Override
        public boolean onRefusedByOwner(Refusal refusal, long now) {
            if (!aboveShare || refusal.reason() != Refusal.Reason.BUSY) {
                return false;
            }
            long waitNanos = refusal.load().waitNanos();
            account.holdUntil(now + Math.max(MIN_HOLD_NANOS, Math.min(MAX_HOLD_NANOS, waitNanos)));
            return shares.excess(account, now) > MIN_EXCESS;
        }

        @Override
        public double onRefused(CallSpec spec, long now) {
            shares.addUse(account, -costNanos, chargedAt);
            if (!aboveShare) {
                return 1;
            }
            entry.instruments.counters().increment(NodeMetricNames.ENTRY_REFUSED_ABOVE_SHARE);
            entry.instruments
                    .log()
                    .write(
                            Event.ORGANISATION_ABOVE_SHARE,
                            "id",
                            spec.id(),
                            "organisation",
                            account.organisation(),
                            "priority",
                            spec.priority(),
                            "service",
                            spec.service(),
                            "by",
                            "ENTRY",
                            "evicted",
                            false);
            double excess = shares.excess(account, now);
            double factor = excess > MIN_EXCESS ? Math.min(MAX_RETURN_FACTOR, excess) : 1;
            double leastSeconds = RetryAfter.untilShare(0, spec.remainingNanos(now), factor, 0);
            account.onReturnTold((long) (leastSeconds * 1e9), now);
            return factor;
        }
    }
}
