package org.berylwick.node.call;

import java.util.Optional;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Divides the slots of an owner's backend server among the organisations of its requests; confined to the event loop.
 * Does nothing for requests without an organisation.
 */
final class OwnerShares {
    /** Assumed cost of a request whose service time is not known yet. */
    private static final long DEFAULT_COST_NANOS = 1_000_000L;
    /** Difference of a caller's remaining time that network delay and rounding explain. */
    private static final long REPEAT_TOLERANCE_NANOS = 45_000_000L;

    private final OrganisationShares shares = new OrganisationShares();
    private final Instruments instruments;

    /** @param instruments counters and event log */
    OwnerShares(Instruments instruments) {
        this.instruments = instruments;
    }

    OrganisationShares shares() {
        return shares;
    }

    /** What a request was charged to the account of its organisation. */
    static final class Charge {
        private final OrganisationShares.Account account;
        private final long costNanos;
        private final boolean firstAttempt;
        private final boolean aboveShare;
        private long chargedAt;
        private long startedAt;
        private State state = State.OFFERED;

        private enum State {
            OFFERED,
            CHARGED,
            STARTED,
            SETTLED
        }

        private Charge(OrganisationShares.Account account, long costNanos, boolean firstAttempt, boolean aboveShare) {
            this.account = account;
            this.costNanos = costNanos;
            this.firstAttempt = firstAttempt;
            this.aboveShare = aboveShare;
        }

        /** Whether the organisation was above its share when the request was offered. */
        boolean isAboveShare() {
            return aboveShare;
        }
    }

    /**
     * Counts an offered request, and determines whether its organisation is above its share.
     *
     * @param call the request
     * @param meanNanos its expected service time, 0 if unknown
     * @param now current time
     * @return empty for a request without an organisation
     */
    Optional<Charge> onOffered(CallSpec call, long meanNanos, long now) {
        if (!call.organisation().isPresent()) {
            return Optional.empty();
        }
        OrganisationShares.Account account = shares.account(call.organisation().name(), call.priority(), now);
        long costNanos = Math.max(DEFAULT_COST_NANOS, meanNanos);
        boolean aboveShare = shares.isAboveShare(account, costNanos, now);
        boolean first = isFirstAttempt(call, now);
        if (first) {
            shares.addDemand(account, costNanos, now);
        }
        return Optional.of(new Charge(account, costNanos, first, aboveShare));
    }

    /** Whether the request was not refused before, neither to the entry node nor to the caller. */
    private static boolean isFirstAttempt(CallSpec call, long now) {
        long objectiveNanos = call.requestClass().objectiveMillis() * 1_000_000L;
        return call.attemptNumber() <= 1 && call.objectiveAt() - now >= objectiveNanos - REPEAT_TOLERANCE_NANOS;
    }

    /** Charges an admitted request. */
    void onAdmitted(OwnerRun run, long now) {
        run.charge().ifPresent(c -> {
            c.chargedAt = now;
            c.state = Charge.State.CHARGED;
            shares.addUse(c.account, c.costNanos, now);
        });
    }

    /** Counts a request that is refused because of the load; the others are served first. */
    void onRefusedBusy(OwnerRun run) {
        if (run.isAboveShare()) {
            instruments.counters().increment(NodeMetricNames.OWNER_REFUSED_ABOVE_SHARE);
            write(run, false);
        }
    }

    /** Counts a queued request that is refused in favour of others. */
    void onEvicted(OwnerRun run) {
        instruments.counters().increment(NodeMetricNames.OWNER_EVICTED_ABOVE_SHARE);
        instruments.counters().increment(NodeMetricNames.OWNER_REFUSED_BY_REASON + Refusal.Reason.BUSY);
        write(run, true);
    }

    private void write(OwnerRun run, boolean evicted) {
        instruments
                .log()
                .write(
                        Event.ORGANISATION_ABOVE_SHARE,
                        "id",
                        run.call().id(),
                        "organisation",
                        run.call().organisation().name(),
                        "priority",
                        run.call().priority(),
                        "service",
                        run.call().service(),
                        "by",
                        "OWNER",
                        "evicted",
                        evicted);
    }

    void onStarted(OwnerRun run, long now) {
        run.charge().ifPresent(c -> {
            c.startedAt = now;
            c.state = Charge.State.STARTED;
        });
    }

    /** Corrects the charge to the slot time that was used, or returns it if the request was not started. */
    void onFinished(OwnerRun run, long now) {
        run.charge().ifPresent(c -> {
            if (c.state == Charge.State.CHARGED) {
                shares.addUse(c.account, -c.costNanos, c.chargedAt);
            } else if (c.state == Charge.State.STARTED) {
                long correction = now - c.startedAt - c.costNanos;
                shares.addUse(c.account, correction, c.chargedAt);
                if (c.firstAttempt) {
                    shares.addDemand(c.account, correction, c.chargedAt);
                }
            }
            c.state = Charge.State.SETTLED;
        });
    }
}
