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
 * Chooses the member that receives a request: nearest place first, and there the less loaded of two randomly drawn
 * members.
 *
 * <p>Members whose requests failed or were slow are excluded temporarily, but never more than half of a service.
 * Suspect members, which didn't answer the probes of the membership protocol, are used only if no other is available.
 * Members that are starting or leaving are never used. Thread-safe.
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
     * Creates a chooser.
     *
     * @param localPlace place of this process
     * @param randomSource supplies the random generator; called for each random draw on the choosing thread
     */
    public MemberChooser(
            Place localPlace,
            PeerLoads loads,
            TimeSource time,
            MetricRegistry metrics,
            Supplier<RandomGenerator> randomSource) {
        this.localPlace = localPlace;
        this.loads = loads;
        this.time = time;
        this.randomSource = randomSource;
        for (Distance d : Distance.values()) {
            chosenByDistance.put(d, metrics.counter(ChoiceMetrics.CHOSEN + d));
        }
        probes = metrics.counter(ChoiceMetrics.PROBES);
        lastResort = metrics.counter(ChoiceMetrics.LAST_RESORT);
    }

    /**
     * Chooses a member for one attempt of a request.
     *
     * @param tried instances that have already refused this request
     */
    public MemberChoice choose(MembershipView members, RouteMatch match, Set<String> tried) {
        loads.updateRecords();
        long nowNanos = time.nanoTime();
        List<Member> selected = members.ofService(match.route().service()).stream()
                .filter(m -> match.route().servers().matches(m.labels()))
                .toList();
        List<Member> up = inState(selected, Member.State.UP);
        List<Member> untried = without(up, tried);
        if (match.policy().idempotent()) {
            Optional<Member> probe =
                    untried.stream().filter(m -> isDueForProbe(m, nowNanos)).findFirst();
            if (probe.isPresent()) {
                probes.inc();
                return countChosen(probe.get());
            }
        }
        List<Member> preferred = without(untried, findExcluded(up, nowNanos));
        if (!preferred.isEmpty()) {
            return countChosen(chooseByDistance(preferred, nowNanos));
        }
        List<Member> suspects = inState(selected, Member.State.SUSPECT);
        for (List<Member> fallbacks : List.of(untried, without(suspects, tried))) {
            if (!fallbacks.isEmpty()) {
                lastResort.inc();
                return countChosen(lessLoadedOfTwo(fallbacks, nowNanos));
            }
        }
        for (List<Member> alreadyTried : List.of(up, suspects)) {
            if (!alreadyTried.isEmpty()) {
                return new MemberChoice.AllTried(lessLoadedOfTwo(alreadyTried, nowNanos));
            }
        }
        return new MemberChoice.NoMember(noMemberReason(selected));
    }

    private MemberChoice countChosen(Member m) {
        chosenByDistance.get(Tiers.distance(localPlace, m.place())).inc();
        return new MemberChoice.Chosen(m);
    }

    private boolean isDueForProbe(Member m, long nowNanos) {
        MemberLoadRecord loadRecord = loads.record(m);
        return loadRecord.ejectionStatus(nowNanos) == Status.PROBATION && loadRecord.inFlight() == 0;
    }

    /**
     * Returns the instances that are not healthy and are therefore not to be used now.
     *
     * <p>Failures may be caused by this process itself rather than by the members. So that a false signal can't remove
     * all members, at most half of a service (rounded down) and at most half of its members in one availability zone
     * (rounded up) are excluded.
     */
    private Set<String> findExcluded(List<Member> up, long nowNanos) {
        // Ejected members come before those on probation, so that the limits exclude them first.
        List<Member> failing = up.stream()
                .filter(m -> loads.record(m).ejectionStatus(nowNanos) != Status.HEALTHY)
                .sorted(Comparator.<Member, Status>comparing(
                                m -> loads.record(m).ejectionStatus(nowNanos))
                        .reversed()
                        .thenComparing(Member::instance))
                .toList();
        if (failing.isEmpty()) {
            return Set.of();
        }
        Set<String> excluded = new HashSet<>();
        Map<Place, Integer> excludedByPlace = new HashMap<>();
        for (Member m : failing) {
            long inPlace = up.stream().filter(o -> o.place().equals(m.place())).count();
            int excludedInPlace = excludedByPlace.getOrDefault(m.place(), 0);
            if (excluded.size() < up.size() / 2 && excludedInPlace < (inPlace + 1) / 2) {
                excluded.add(m.instance());
                excludedByPlace.put(m.place(), excludedInPlace + 1);
            }
        }
        return excluded;
    }

    private Member chooseByDistance(List<Member> members, long nowNanos) {
        List<Tier> tiers = Tiers.of(localPlace, members, loads, nowNanos);
        for (int i = 0; i < tiers.size() - 1; i++) {
            double keptShare = Tiers.keptShare(tiers.get(i), tiers.subList(i + 1, tiers.size()));
            if (keptShare >= 1 || randomSource.get().nextDouble() < keptShare) {
                return lessLoadedOfTwo(tiers.get(i).members(), nowNanos);
            }
        }
        return lessLoadedOfTwo(tiers.getLast().members(), nowNanos);
    }

    private Member lessLoadedOfTwo(List<Member> members, long nowNanos) {
        if (members.size() == 1) {
            return members.getFirst();
        }
        Member a = drawByWeight(members, nowNanos);
        Member b = drawByWeight(members.stream().filter(m -> m != a).toList(), nowNanos);
        return utilization(a, nowNanos) <= utilization(b, nowNanos) ? a : b;
    }

    /**
     * Draws a member at random in proportion to its weight. The caches of a new member are cold, so it has a lower
     * weight until it has had time to warm up.
     */
    private Member drawByWeight(List<Member> members, long nowNanos) {
        double total = 0;
        for (Member m : members) {
            total += weight(m, nowNanos);
        }
        double remaining = randomSource.get().nextDouble() * total;
        for (Member m : members) {
            remaining -= weight(m, nowNanos);
            if (remaining < 0) {
                return m;
            }
        }
        return members.getLast();
    }

    private double weight(Member m, long nowNanos) {
        return Math.max(1, m.slots()) * loads.record(m).slowStartFactor(nowNanos);
    }

    private double utilization(Member m, long nowNanos) {
        return (loads.record(m).load(nowNanos) + 1) / Math.max(1, m.slots());
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
