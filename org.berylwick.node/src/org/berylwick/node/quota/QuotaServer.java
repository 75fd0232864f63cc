package org.berylwick.node.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/** Grants permits of the organisations of which this node is the quota server. Confined to the event loop. */
final class QuotaServer {
    /** Share of the rate that all nodes together may use while they cannot reach a quota server. */
    static final double FALLBACK_SHARE = 0.1;

    /** Largest answer in seconds of the rate; what one node holds is idle when the demand moves to another. */
    private static final double MAX_ANSWER_S = 0.1;

    private static final long MAX_HOLD_NANOS = 100_000_000L;
    /** Distance of the times at which refused requests return, as a multiple of the distance of permits. */
    private static final double PROMISE_SPACING = 1.1;

    /** Time before the first return in which permits gather, so that returns that come close together are granted. */
    private static final long PROMISE_LEAD_NANOS = 50_000_000L;

    private static final long MAX_PROMISE_NANOS = 5_000_000_000L;
    private static final long ASKER_WINDOW_NANOS = 1_000_000_000L;
    private static final long IDLE_NANOS = 10_000_000_000L;
    private static final long REPORT_INTERVAL_NANOS = 10_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final QuotaFleet fleet;
    private final QuotaElection election;
    private final Function<String, Optional<Organisation>> organisations;
    private final DoubleSupplier random;
    private final Instruments instruments;
    private final Map<String, Account> accounts = new HashMap<>();
    /**
     * Whether more than half of the nodes are heard; after a separation into halves, none of them may grant permits.
     */
    private boolean hearsMajority;
    /** When this node last ceased to be the quota server of an organisation whose bucket it held. */
    private long lastLostAt = Long.MIN_VALUE;

    private double silentShare;

    /** What the quota server keeps of one organisation. */
    private static final class Account {
        private final QuotaBucket bucket;
        private Organisation organisation;
        /** Permits that are returned earlier were granted by a limit that has changed since. */
        private long returnsCountFrom;

        private final Map<String, Asker> askers = new HashMap<>();
        private long lastAskAt;
        private long promisedAt;
        private long windowStartedAt;
        private int askersInWindow;
        private int askersInPreviousWindow;
        private long reportedAt;
        private long grantedSinceReport;
        private long refusedSinceReport;

        private Account(Organisation organisation, QuotaBucket bucket, long now) {
            this.organisation = organisation;
            this.returnsCountFrom = now;
            this.bucket = bucket;
            this.promisedAt = now;
            this.reportedAt = now;
            this.windowStartedAt = now;
        }

        private void countAsker(Asker asker, long now) {
            if (now - windowStartedAt >= ASKER_WINDOW_NANOS) {
                askersInPreviousWindow = now - windowStartedAt < 2 * ASKER_WINDOW_NANOS ? askersInWindow : 0;
                askersInWindow = 0;
                windowStartedAt = now;
            }
            if (asker.countedIn != windowStartedAt || askersInWindow == 0) {
                asker.countedIn = windowStartedAt;
                askersInWindow++;
            }
        }
    }

    /** What the quota server keeps of one node that asks for permits of an organisation. */
    private static final class Asker {
        private final int process;
        private long lastNumber = Long.MIN_VALUE;
        private long lastReturn = Long.MIN_VALUE;
        private long countedIn = Long.MIN_VALUE;
        private Optional<QuotaMessage> lastAnswer = Optional.empty();

        private Asker(int process) {
            this.process = process;
        }
    }

    /**
     * @param fleet what is known of the other nodes
     * @param election decides whether this node is the quota server
     * @param organisations finds an organisation in the version in force
     * @param random uniform in [0, 1)
     * @param instruments counters and event log
     */
    QuotaServer(
            QuotaFleet fleet,
            QuotaElection election,
            Function<String, Optional<Organisation>> organisations,
            DoubleSupplier random,
            Instruments instruments) {
        this.fleet = fleet;
        this.election = election;
        this.organisations = organisations;
        this.random = random;
        this.instruments = instruments;
    }

    /** Answers a question; empty if it was overtaken by a later one. */
    Optional<QuotaMessage> onAsk(String sender, QuotaMessage.Ask ask, long now) {
        Optional<Organisation> organisation =
                organisations.apply(ask.organisation()).filter(Organisation::isLimited);
        if (organisation.isEmpty() || !isServer(ask.organisation(), now)) {
            if (accounts.remove(ask.organisation()) != null) {
                lastLostAt = now;
            }
            return Optional.of(new QuotaMessage.NotServer(
                    ask.number(),
                    ask.organisation(),
                    election.vote(ask.organisation(), now)
                            .filter(voted -> election.isReader() && !voted.equals(fleet.ownIp()))
                            .orElse("")));
        }
        Account account = account(organisation.get(), now);
        Asker asker = asker(account, sender, ask.process());
        if (ask.number() == asker.lastNumber) {
            return asker.lastAnswer;
        }
        if (ask.number() < asker.lastNumber) {
            return Optional.empty();
        }
        asker.lastNumber = ask.number();
        account.countAsker(asker, now);
        asker.lastAnswer = Optional.of(grant(organisation.get(), account, ask, now));
        report(organisation.get(), account, now);
        return asker.lastAnswer;
    }

    /** A bucket that is opened again must not contain what the earlier one, or another quota server, has granted. */
    private long bucketsFillFrom() {
        return Math.max(election.bucketsFillFrom(), lastLostAt);
    }

    private boolean isServer(String organisation, long now) {
        return hearsMajority && election.isServer(organisation, now);
    }

    private Account account(Organisation organisation, long now) {
        double rate = effectiveRate(organisation);
        Account account = accounts.computeIfAbsent(
                organisation.name(),
                name -> new Account(organisation, new QuotaBucket(rate, organisation.burst(), bucketsFillFrom()), now));
        account.bucket.setLimit(rate, organisation.burst(), now);
        if (!organisation.equals(account.organisation)) {
            account.organisation = organisation;
            account.returnsCountFrom = now + PermitPool.VALID_NANOS;
        }
        account.lastAskAt = now;
        return account;
    }

    /** Returns the rate less the fallback shares of the nodes that this node does not hear. */
    private double effectiveRate(Organisation organisation) {
        return organisation.ratePerSecond() * (1 - FALLBACK_SHARE * silentShare);
    }

    private static Asker asker(Account account, String sender, int process) {
        Asker asker = account.askers.get(sender);
        if (asker == null || asker.process != process) {
            asker = new Asker(process);
            account.askers.put(sender, asker);
        }
        return asker;
    }

    private QuotaMessage grant(Organisation organisation, Account account, QuotaMessage.Ask ask, long now) {
        double rate = organisation.ratePerSecond();
        int most = (int) Math.max(1, rate * MAX_ANSWER_S);
        int wanted = Math.min(ask.wanted(), most);
        int granted = account.bucket.take(wanted, now);
        account.grantedSinceReport += granted;
        instruments.counters().add(NodeMetricNames.QUOTA_PERMITS_GRANTED, granted);
        if (granted == wanted) {
            return new QuotaMessage.Answer(ask.number(), ask.organisation(), granted, 0, 0, 0);
        }
        account.refusedSinceReport += wanted - granted;
        instruments.counters().add(NodeMetricNames.QUOTA_PERMITS_REFUSED, wanted - granted);
        long untilOne = account.bucket.untilOneNanos(now);
        // Permits gather in the bucket while the nodes that it refused do not ask; it must not become full meanwhile.
        long gather = Math.min(account.bucket.fillNanos() / 2, MAX_HOLD_NANOS);
        long hold = Math.max(untilOne, (long) (gather * (0.5 + 0.5 * random.getAsDouble())));
        double pace = NANOS_PER_SECOND * PROMISE_SPACING / rate;
        long promised = Math.max(now + untilOne + Math.min(gather, PROMISE_LEAD_NANOS), account.promisedAt)
                + (long) (pace * ask.refused());
        account.promisedAt = Math.min(promised + (long) pace, now + MAX_PROMISE_NANOS);
        // While this node refuses further requests by itself, so do the others.
        int askers = Math.max(1, Math.max(account.askersInWindow, account.askersInPreviousWindow));
        return new QuotaMessage.Answer(
                ask.number(), ask.organisation(), granted, hold, promised - now, (long) (pace * askers));
    }

    private void report(Organisation organisation, Account account, long now) {
        if (now - account.reportedAt < REPORT_INTERVAL_NANOS) {
            return;
        }
        if (account.refusedSinceReport > 0) {
            instruments
                    .log()
                    .write(
                            Event.QUOTA_USED_UP,
                            "organisation",
                            organisation.name(),
                            "limit",
                            organisation.ratePerSecond(),
                            "burst",
                            organisation.burst(),
                            "granted",
                            account.grantedSinceReport,
                            "refused",
                            account.refusedSinceReport,
                            "nodes",
                            Math.max(account.askersInWindow, account.askersInPreviousWindow),
                            "overMs",
                            (now - account.reportedAt) / 1_000_000);
        }
        account.reportedAt = now;
        account.grantedSinceReport = 0;
        account.refusedSinceReport = 0;
    }

    /** Puts permits back that a node has not used; a return that arrives twice counts once. */
    void onReturn(String sender, QuotaMessage.Return returned, long now) {
        Account account = accounts.get(returned.organisation());
        if (account == null) {
            return;
        }
        Asker asker = asker(account, sender, returned.process());
        if (returned.number() <= asker.lastReturn) {
            return;
        }
        asker.lastReturn = returned.number();
        if (now < account.returnsCountFrom) {
            return;
        }
        account.bucket.putBack(returned.count(), now);
        account.grantedSinceReport -= returned.count();
    }

    /**
     * Counts the nodes that are heard, and drops the buckets of organisations that this node no longer serves, and
     * those that are full and unused.
     */
    void tick(long now) {
        int nodes = Math.max(1, fleet.nodeCount());
        int heard = fleet.heardCount();
        hearsMajority = heard * 2 > nodes;
        silentShare = (double) Math.max(0, nodes - heard) / nodes;
        if (accounts.keySet().removeIf(organisation -> !isServer(organisation, now))) {
            lastLostAt = now;
        }
        accounts.values().removeIf(account -> now - account.lastAskAt > IDLE_NANOS && account.bucket.isFull(now));
    }

    /** Number of organisations whose bucket this node holds. */
    int accountCount() {
        return accounts.size();
    }
}
