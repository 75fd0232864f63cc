package org.berylwick.bench.quotas;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.quota.EvenShareQuota;
import org.berylwick.node.quota.RequestQuota;

/** Requests of one organisation that reach a fleet in a given pattern, and what the limit makes of them. */
public final class QuotaRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long START_NANOS = 10 * NANOS_PER_SECOND;
    private static final long FAULT_NANOS = 30 * NANOS_PER_SECOND;
    private static final long RECOVERY_NANOS = 50 * NANOS_PER_SECOND;
    private static final long END_NANOS = 70 * NANOS_PER_SECOND;
    private static final long WINDOW_NANOS = 5 * NANOS_PER_SECOND;
    private static final long MOVE_NANOS = 2 * NANOS_PER_SECOND;

    /** How permits are given. */
    public enum Way {
        /** By a quota server. */
        PERMITS,
        /** By even shares. */
        EVEN
    }

    /** Where the requests arrive. */
    public enum Demand {
        /** At any node. */
        EVEN,
        /** At one node. */
        ONE_NODE,
        /** At one node of a tenth of the fleet, another one every 2 s. */
        MOVING
    }

    /** What goes wrong from 30 s to 50 s, or changes at 30 s. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** Every 50th message gets lost, during the whole run. */
        LOSS,
        /** The quota server is killed, and starts again. */
        KILL,
        /** A third of the nodes, with the quota server, is separated. */
        PARTITION,
        /** Each node starts again, one after the other within 2 s. */
        RESTART,
        /** The limit is halved. */
        HALVED
    }

    /**
     * What is run.
     *
     * @param nodes number of nodes
     * @param rate limit in requests per second
     * @param burstSeconds burst in seconds of the rate
     * @param load demand as a multiple of the limit
     */
    public record Scenario(int nodes, double rate, double burstSeconds, double load, Demand demand, Fault fault) {}

    /**
     * Figures of a run, from 10 s on.
     *
     * @param served requests that were granted, as a share of what the limit allows in that time
     * @param refused share of the requests that were refused
     * @param excess largest share by which a window of 5 s exceeds rate x 5 s + burst; negative if none does
     * @param margin requests by which the largest window stays below the bound that requirements set
     * @param messagesPerSecond messages of all nodes
     */
    public record Figures(double served, double refused, double excess, double margin, double messagesPerSecond) {}

    private final VirtualClock clock = new VirtualClock();
    private final Scenario scenario;
    private final Random random;
    private final QuotaNetwork network;
    private final List<RequestQuota> quotas = new ArrayList<>();
    private final Way way;
    private final List<Long> grantedAt = new ArrayList<>();
    private int target;
    private int requests;
    private int refused;

    /**
     * @param way how permits are given
     * @param scenario what is run
     * @param seed of arrivals and delays
     */
    public QuotaRun(Way way, Scenario scenario, long seed) {
        this.way = way;
        this.scenario = scenario;
        this.random = new Random(seed);
        Organisation organisation = organisation(scenario.rate());
        double loss = scenario.fault() == Fault.LOSS ? 0.02 : 0;
        this.network = new QuotaNetwork(clock, scenario.nodes(), loss, organisation, seed);
        this.target = scenario.nodes() - 1;
        for (int i = 0; i < scenario.nodes(); i++) {
            quotas.add(new EvenShareQuota(clock, network.fleet(i)));
        }
    }

    private Organisation organisation(double rate) {
        return new Organisation("acme", OrganisationTag.NO_PRIORITY, rate, rate * scenario.burstSeconds());
    }

    /** Runs everything and returns the figures. */
    public Figures run() {
        clock.after(0, this::arrive);
        if (scenario.demand() == Demand.MOVING) {
            clock.after(MOVE_NANOS, this::move);
        }
        clock.schedule(FAULT_NANOS, this::fail);
        clock.runUntil(END_NANOS);
        network.close();
        return figures();
    }

    private void move() {
        target = random.nextInt(scenario.nodes());
        clock.after(MOVE_NANOS, this::move);
    }

    private void fail() {
        switch (scenario.fault()) {
            case NONE, LOSS -> {}
            case HALVED -> network.changeLimit(organisation(scenario.rate() / 2));
            case RESTART -> {
                for (int i = 0; i < scenario.nodes(); i++) {
                    int node = i;
                    clock.after(i * MOVE_NANOS / scenario.nodes(), () -> network.restart(node));
                }
            }
            case KILL ->
                network.server().ifPresent(server -> {
                    network.kill(server);
                    clock.schedule(RECOVERY_NANOS, () -> network.start(server));
                });
            case PARTITION -> {
                network.separate(third());
                clock.schedule(RECOVERY_NANOS, network::reunite);
            }
        }
    }

    /** Returns a zone of the fleet that holds the quota server. */
    private Set<Integer> third() {
        int zone = network.server().orElse(0) % 3;
        Set<Integer> nodes = new HashSet<>();
        for (int i = zone; i < scenario.nodes(); i += 3) {
            nodes.add(i);
        }
        return nodes;
    }

    private void arrive() {
        double rate = scenario.rate() * scenario.load();
        // Even intervals with a spread, since an ideal bucket refuses some of a Poisson stream just below the limit.
        clock.after((long) (NANOS_PER_SECOND / rate * (0.5 + random.nextDouble())), this::arrive);
        int node = node();
        if (!network.isRunning(node)) {
            return;
        }
        RequestQuota quota = way == Way.PERMITS ? network.quota(node) : quotas.get(node);
        boolean counted = clock.now() >= START_NANOS;
        requests += counted ? 1 : 0;
        quota.acquire(network.organisation(), decision -> {
            if (decision instanceof RequestQuota.Decision.Granted) {
                grantedAt.add(clock.now());
            } else if (counted) {
                refused++;
            }
        });
    }

    private int node() {
        return switch (scenario.demand()) {
            case EVEN -> random.nextInt(scenario.nodes());
            case ONE_NODE -> target;
            case MOVING -> (target + random.nextInt(Math.max(1, scenario.nodes() / 10))) % scenario.nodes();
        };
    }

    private double rateAt(long time) {
        return scenario.fault() == Fault.HALVED && time >= FAULT_NANOS ? scenario.rate() / 2 : scenario.rate();
    }

    private double allowed(long from, long to) {
        double before = Math.max(0, Math.min(to, FAULT_NANOS) - from);
        double after = Math.max(0, to - Math.max(from, FAULT_NANOS));
        return (before * scenario.rate() + after * rateAt(FAULT_NANOS)) / NANOS_PER_SECOND;
    }

    private Figures figures() {
        long granted = grantedAt.stream().filter(at -> at >= START_NANOS).count();
        double excess = -1;
        double margin = scenario.rate() * 5 * 1.1;
        int first = 0;
        for (int last = 0; last < grantedAt.size(); last++) {
            long at = grantedAt.get(last);
            while (grantedAt.get(first) <= at - WINDOW_NANOS) {
                first++;
            }
            long from = Math.max(0, at - WINDOW_NANOS);
            double limit = allowed(from, from + WINDOW_NANOS) + rateAt(from) * scenario.burstSeconds();
            int count = last - first + 1;
            excess = Math.max(excess, count / limit - 1);
            margin = Math.min(margin, limit * 1.1 + 20 - count);
        }
        long messages = network.messages().values().stream().mapToLong(n -> n).sum();
        return new Figures(
                granted / allowed(START_NANOS, END_NANOS),
                (double) refused / Math.max(1, requests),
                excess,
                margin,
                messages / (double) (END_NANOS / NANOS_PER_SECOND));
    }
}
