package org.berylwick.bench.limits;

import com.codahale.metrics.MetricRegistry;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.berylwick.internal.routing.MemberChoice;
import org.berylwick.internal.routing.MemberChooser;
import org.berylwick.internal.routing.PeerLoads;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Selector;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TrafficClass;

/**
 * Has entry daemons in four availability zones choose among five members, and compares how evenly those are loaded.
 *
 * <p>Each entry knows only its own requests and what replies told it. Members serve first come first served.
 */
public final class ChoiceRun {
    /** Ways to choose. */
    public enum Way {
        /** Any member at random. */
        RANDOM,
        /** Each entry goes round all members. */
        ROUND_ROBIN,
        /** At random among those of the own availability zone. */
        OWN_ZONE_ONLY,
        /** The less loaded of two random ones anywhere. */
        TWO_CHOICES_ANYWHERE,
        /** {@link MemberChooser}. */
        CHOOSER
    }

    /**
     * What is offered to which members.
     *
     * @param name for the figures
     * @param offered part of all slots that would be busy on average
     * @param zoneShare part of all requests that enters in the first zone; the others share the rest evenly
     * @param slowness how much longer the first member takes than the others
     * @param failing whether the first member fails each request at once
     */
    public record Scenario(String name, double offered, double zoneShare, double slowness, boolean failing) {}

    private static final int ENTRIES_PER_ZONE = 3;
    private static final int SLOTS = 12;
    private static final long HOLD_NANOS = Duration.ofMillis(20).toNanos();
    private static final long FAILURE_NANOS = Duration.ofMillis(1).toNanos();
    private static final long HOP_NANOS = 500_000;
    private static final Duration SAMPLE = Duration.ofMillis(10);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final List<String> ZONES = List.of("quezon", "makati", "pasig", "manila");
    private static final String SERVICE = "slotboard";
    private static final Deadline NO_DEADLINE = new Deadline(Duration.ofDays(1).toNanos());

    private final EventLoop loop = new EventLoop();
    private final Random random;
    private final Way way;
    private final Scenario scenario;
    private final List<Server> servers = new ArrayList<>();
    private final MembershipView view;
    private final List<Entry> entries = new ArrayList<>();
    private final Histogram times = new Histogram(Duration.ofMinutes(10).toNanos(), 3);
    private long requests;
    private long crossed;
    private long failed;

    private final class Server {
        private final Member member;
        private final Admitter.OneQueue slots;
        private final double meanHoldNanos;
        private final boolean failing;
        private int load;
        private double loadSum;
        private long samples;

        private Server(Member member, double meanHoldNanos, boolean failing) {
            this.member = member;
            this.meanHoldNanos = meanHoldNanos;
            this.failing = failing;
            slots = Admitter.OneQueue.firstComeFirstServed(loop, SLOTS, Integer.MAX_VALUE);
        }

        private double meanLoad() {
            return loadSum / samples;
        }
    }

    private static final class Entry {
        private final Place place;
        private final PeerLoads loads;
        private final MemberChooser chooser;
        private int next;

        private Entry(Place place, PeerLoads loads, MemberChooser chooser) {
            this.place = place;
            this.loads = loads;
            this.chooser = chooser;
        }
    }

    /** A run of its own. */
    public ChoiceRun(Way way, Scenario scenario, long seed) {
        this.way = way;
        this.scenario = scenario;
        this.random = new Random(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < ZONES.size() + 1; i++) {
            Member m = new Member(
                    SERVICE + "-" + i,
                    SERVICE,
                    new HostPort("127.0.0.1", 1 + i),
                    place(i),
                    Labels.EMPTY,
                    Member.State.UP,
                    1,
                    SLOTS,
                    1,
                    0);
            members.add(m);
            boolean failing = i == 0 && scenario.failing;
            double hold = failing ? FAILURE_NANOS : i == 0 ? HOLD_NANOS * scenario.slowness : HOLD_NANOS;
            servers.add(new Server(m, hold, failing));
        }
        view = new MembershipView(members);
        for (int i = 0; i < ZONES.size() * ENTRIES_PER_ZONE; i++) {
            MetricRegistry metrics = new MetricRegistry();
            PeerLoads loads = new PeerLoads(() -> view, PeerLoads.LocalLoad.NONE, loop, metrics);
            entries.add(new Entry(place(i), loads, new MemberChooser(place(i), loads, loop, metrics, () -> random)));
        }
    }

    /** Runs for {@code span}. */
    public void run(Duration span) {
        double perNano = scenario.offered * SLOTS * servers.size() / HOLD_NANOS;
        for (int i = 0; i < entries.size(); i++) {
            boolean first = i % ZONES.size() == 0;
            double share = first ? scenario.zoneShare : (1 - scenario.zoneShare) / (ZONES.size() - 1);
            planNext(entries.get(i), perNano * share / ENTRIES_PER_ZONE);
        }
        sample();
        loop.run(span);
    }

    /** Prints how even the load was and what callers saw. */
    public void print(PrintStream out) {
        String key = scenario.name + "." + way.name().toLowerCase(Locale.ROOT);
        double max = servers.stream().mapToDouble(Server::meanLoad).max().orElseThrow();
        double mean = servers.stream().mapToDouble(Server::meanLoad).average().orElseThrow();
        print(out, key + ".max_over_mean_load", max / mean);
        print(out, key + ".other_zone_share", (double) crossed / requests);
        print(out, key + ".failed_share", (double) failed / requests);
        print(out, key + ".time_p50_ms", times.getValueAtPercentile(50) / NANOS_PER_MILLI);
        print(out, key + ".time_p99_ms", times.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }

    private static void print(PrintStream out, String key, double value) {
        out.printf(Locale.ROOT, "%s: %.3f%n", key, value);
    }

    private static Place place(int i) {
        return new Place("ncr", ZONES.get(i % ZONES.size()));
    }

    private void planNext(Entry entry, double perNano) {
        loop.after((long) exponential(1 / perNano), () -> {
            request(entry);
            planNext(entry, perNano);
        });
    }

    private void sample() {
        for (Server s : servers) {
            s.loadSum += s.load;
            s.samples++;
        }
        loop.after(SAMPLE.toNanos(), this::sample);
    }

    private void request(Entry entry) {
        long began = loop.nanoTime();
        Server server = choose(entry);
        long hop = server.member.place().equals(entry.place) ? 0 : HOP_NANOS;
        requests++;
        crossed += hop == 0 ? 0 : 1;
        PeerLoads.Attempt attempt = entry.loads.begin(server.member);
        loop.after(hop, () -> {
            server.load++;
            server.slots.ask(
                    TrafficClass.READ,
                    NO_DEADLINE,
                    slot -> loop.after((long) exponential(server.meanHoldNanos), () -> {
                        server.load--;
                        int reported = server.load;
                        slot.orElseThrow().run();
                        loop.after(hop, () -> {
                            attempt.reportLoad(reported);
                            ended(server, attempt);
                            times.recordValue(loop.nanoTime() - began);
                        });
                    }));
        });
    }

    private void ended(Server server, PeerLoads.Attempt attempt) {
        if (server.failing) {
            failed++;
            attempt.failed("status 500");
        } else {
            attempt.responseStarted(true);
        }
        attempt.close();
    }

    private Server choose(Entry entry) {
        return switch (way) {
            case RANDOM -> any(servers);
            case ROUND_ROBIN -> servers.get(entry.next++ % servers.size());
            case OWN_ZONE_ONLY ->
                any(servers.stream()
                        .filter(s -> s.member.place().equals(entry.place))
                        .toList());
            case TWO_CHOICES_ANYWHERE -> lessLoaded(entry, any(servers), any(servers));
            case CHOOSER -> chosen(entry);
        };
    }

    private Server any(List<Server> from) {
        return from.get(random.nextInt(from.size()));
    }

    private Server lessLoaded(Entry entry, Server a, Server b) {
        return List.of(a, b).stream()
                .min(Comparator.comparingDouble(s -> entry.loads.load(s.member)))
                .orElseThrow();
    }

    private Server chosen(Entry entry) {
        MemberChoice choice = entry.chooser.choose(view, Matches.ANY, Set.of());
        if (!(choice instanceof MemberChoice.Chosen(Member member))) {
            throw new IllegalStateException("no member: " + choice);
        }
        return servers.stream().filter(s -> s.member.equals(member)).findFirst().orElseThrow();
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private static final class Matches {
        private static final RouteMatch ANY = new RouteMatch(
                new Brand("any", List.of("any.example"), Labels.EMPTY, Map.of()),
                new Route("any", Labels.EMPTY, Selector.parse(""), "/", List.of(), SERVICE, Selector.parse("")),
                new Policy(
                        "any",
                        0,
                        Selector.parse(""),
                        Selector.parse(""),
                        TrafficClass.READ,
                        2_000,
                        3,
                        true,
                        Policy.KeyRule.IGNORED),
                new ServiceSpec(SERVICE, Labels.EMPTY, SLOTS, 110, 48));
    }
}
