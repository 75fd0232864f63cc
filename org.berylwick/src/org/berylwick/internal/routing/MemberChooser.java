package org.berylwick.internal.routing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.berylwick.internal.routing.EjectionState.Status;
import org.berylwick.internal.routing.Tiers.Distance;
import org.berylwick.internal.routing.Tiers.Tier;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/**
 * Picks the member that a request goes to: the less loaded of two random ones, nearest place first.
 *
 * <p>Members that failed requests are left out for a while, but never more than half of a service. Those that didn't
 * answer the membership's probes are used when no other is left, those that start or leave never. Any thread may
 * choose.
 */
public final class MemberChooser {
    private final Place localPlace;
    private final PeerLoads loads;
    private final TimeSource time;
    private final Supplier<RandomGenerator> randomSource;
    private final Map<Distance, Counter> chosenByDistance = new EnumMap<>(Distance.class);
    private final Counter probes;
    private final Counter lastResort;

    /**
     * A chooser.
     *
     * @param own where this process runs
     * @param random asked for a source at each choice, on the thread that chooses
     */
    public MemberChooser(
            Place own, PeerLoads loads, TimeSource time, MetricRegistry metrics, Supplier<RandomGenerator> random) {
        this.localPlace = own;
        this.loads = loads;
        this.time = time;
        this.randomSource = random;
        for (Distance d : Distance.values()) {
            chosenByDistance.put(d, metrics.counter(ChoiceMetrics.CHOSEN + d));
        }
        probes = metrics.counter(ChoiceMetrics.PROBES);
        lastResort = metrics.counter(ChoiceMetrics.LAST_RESORT);
    }

    /**
     * Picks a member.
     *
     * @param tried instances that refused this request already
     */
    public MemberChoice choose(MembershipView members, RouteMatch match, Set<String> tried) {
        loads.updateMembers();
        long now = time.nanoTime();
        List<Member> selected = members.ofService(match.route().service()).stream()
                .filter(m -> match.route().servers().matches(m.labels()))
                .toList();
        List<Member> up = inState(selected, Member.State.UP);
        List<Member> fresh = without(up, tried);
        if (match.policy().idempotent()) {
            Optional<Member> probe =
                    fresh.stream().filter(m -> isDueForProbe(m, now)).findFirst();
            if (probe.isPresent()) {
                probes.inc();
                return countChosen(probe.get());
            }
        }
        List<Member> well = without(fresh, findExcluded(up, now));
        if (!well.isEmpty()) {
            return countChosen(chooseByDistance(well, now));
        }
        List<Member> suspects = inState(selected, Member.State.SUSPECT);
        for (List<Member> rest : List.of(fresh, without(suspects, tried))) {
            if (!rest.isEmpty()) {
                lastResort.inc();
                return countChosen(lessLoadedOfTwo(rest, now));
            }
        }
        for (List<Member> again : List.of(up, suspects)) {
            if (!again.isEmpty()) {
                return new MemberChoice.AllTried(lessLoadedOfTwo(again, now));
            }
        }
        return new MemberChoice.NoMember(noMemberReason(selected));
    }

    private MemberChoice countChosen(Member m) {
        chosenByDistance.get(Tiers.distance(localPlace, m.place())).inc();
        return new MemberChoice.Chosen(m);
    }

    private boolean isDueForProbe(Member m, long now) {
        MemberStats r = loads.stats(m);
        return r.ejectionStatus(now) == Status.PROBATION && r.inFlight() == 0;
    }

    /**
     * The instances that are not to be used now.
     *
     * <p>What looks like failing members may be this process's own trouble. At most half of a service, and of its
     * members in an availability zone the larger half, is left out, so that a wrong signal can't empty it.
     */
    private Set<String> findExcluded(List<Member> up, long now) {
        List<Member> failing = up.stream()
                .filter(m -> loads.stats(m).ejectionStatus(now) != Status.HEALTHY)
                .sorted(Comparator.<Member, Status>comparing(
                                m -> loads.stats(m).ejectionStatus(now))
                        .reversed()
                        .thenComparing(Member::instance))
                .toList();
        if (failing.isEmpty()) {
            return Set.of();
        }
        Set<String> out = new HashSet<>();
        Map<Place, Integer> outByPlace = new HashMap<>();
        for (Member m : failing) {
            long inPlace = up.stream().filter(o -> o.place().equals(m.place())).count();
            int outThere = outByPlace.getOrDefault(m.place(), 0);
            if (out.size() < up.size() / 2 && outThere < (inPlace + 1) / 2) {
                out.add(m.instance());
                outByPlace.put(m.place(), outThere + 1);
            }
        }
        return out;
    }

    private Member chooseByDistance(List<Member> members, long now) {
        List<Tier> tiers = Tiers.of(localPlace, members, loads, now);
        for (int i = 0; i < tiers.size() - 1; i++) {
            double stay = Tiers.keptShare(tiers.get(i), tiers.subList(i + 1, tiers.size()));
            if (stay >= 1 || randomSource.get().nextDouble() < stay) {
                return lessLoadedOfTwo(tiers.get(i).members(), now);
            }
        }
        return lessLoadedOfTwo(tiers.getLast().members(), now);
    }

    private Member lessLoadedOfTwo(List<Member> members, long now) {
        if (members.size() == 1) {
            return members.getFirst();
        }
        Member a = drawByWeight(members, now);
        Member b = drawByWeight(members.stream().filter(m -> m != a).toList(), now);
        return utilization(a, now) <= utilization(b, now) ? a : b;
    }

    /** A new member's caches are cold; it is drawn less often until it had time to warm up. */
    private Member drawByWeight(List<Member> members, long now) {
        double total = 0;
        for (Member m : members) {
            total += weight(m, now);
        }
        double at = randomSource.get().nextDouble() * total;
        for (Member m : members) {
            at -= weight(m, now);
            if (at < 0) {
                return m;
            }
        }
        return members.getLast();
    }

    private double weight(Member m, long now) {
        return Math.max(1, m.slots()) * loads.stats(m).weight(now);
    }

    private double utilization(Member m, long now) {
        return (loads.stats(m).load(now) + 1) / Math.max(1, m.slots());
    }

    private static List<Member> inState(List<Member> members, Member.State state) {
        return members.stream().filter(m -> m.state() == state).toList();
    }

    private static List<Member> without(List<Member> members, Set<String> instances) {
        if (instances.isEmpty()) {
            return members;
        }
        return members.stream().filter(m -> !instances.contains(m.instance())).toList();
    }

    private static RefusalReason noMemberReason(List<Member> members) {
        List<Member.State> states = new ArrayList<>();
        members.forEach(m -> states.add(m.state()));
        if (states.contains(Member.State.STARTING)) {
            return RefusalReason.STARTING;
        }
        return states.contains(Member.State.LEAVING) ? RefusalReason.LEAVING : RefusalReason.NO_MEMBER;
    }
}
