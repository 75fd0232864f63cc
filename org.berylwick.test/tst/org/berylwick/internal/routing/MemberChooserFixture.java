package org.berylwick.internal.routing;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.berylwick.lib.Brand;
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
import org.berylwick.testing.ManualTimeSource;

/** A chooser in the availability zone makati, with a manual clock and members that the test adds. */
final class MemberChooserFixture {
    static final Place MAKATI = new Place("ncr", "makati");
    static final Place PASIG = new Place("ncr", "pasig");
    static final Place CEBU = new Place("visayas", "cebu");
    static final int SLOTS = 12;

    private static final String SERVICE = "slotboard";

    final ManualTimeSource time = new ManualTimeSource();
    final MetricRegistry metrics = new MetricRegistry();
    final List<Member> members = new ArrayList<>();
    final PeerLoads loads;
    final MemberChooser chooser;
    private MembershipView view = MembershipView.EMPTY;

    MemberChooserFixture() {
        this(7);
    }

    MemberChooserFixture(long seed) {
        Random random = new Random(seed);
        loads = new PeerLoads(() -> view, PeerLoads.LocalLoad.NONE, time, metrics);
        chooser = new MemberChooser(MAKATI, loads, time, metrics, () -> random);
    }

    Member add(String instance, Place place) {
        return add(instance, place, Member.State.UP, 1);
    }

    /** Adds a member or replaces the one with the same instance name. */
    Member add(String instance, Place place, Member.State state, long incarnation) {
        Member m = new Member(
                instance,
                SERVICE,
                new HostPort("10.0.0.1", 7000),
                place,
                Labels.EMPTY,
                state,
                incarnation,
                SLOTS,
                1,
                0);
        members.removeIf(o -> o.instance().equals(instance));
        members.add(m);
        view = new MembershipView(members);
        return m;
    }

    void remove(Member m) {
        members.remove(m);
        view = new MembershipView(members);
    }

    MemberChoice choose(boolean idempotent, Set<String> tried) {
        return chooser.choose(view, newMatch(idempotent), tried);
    }

    /** Chooses a member; fails if none is eligible. */
    Member chooseMember(boolean idempotent) {
        return ((MemberChoice.Chosen) choose(idempotent, Set.of())).member();
    }

    /** Chooses {@code times} times and returns how often each instance was chosen. */
    Map<String, Integer> countChoices(int times) {
        Map<String, Integer> choicesByInstance = new HashMap<>();
        for (int i = 0; i < times; i++) {
            choicesByInstance.merge(chooseMember(false).instance(), 1, Integer::sum);
        }
        return choicesByInstance;
    }

    /** Starts requests at a member that never end. */
    void startRequests(Member m, int requests) {
        for (int i = 0; i < requests; i++) {
            loads.begin(m);
        }
    }

    void failRequests(Member m, int times) {
        for (int i = 0; i < times; i++) {
            try (PeerLoads.Attempt a = loads.begin(m)) {
                a.failed("refused");
            }
        }
    }

    private static RouteMatch newMatch(boolean idempotent) {
        Brand brand = new Brand("b", List.of("b.example"), Labels.EMPTY, Map.of());
        Route route = new Route("r", Labels.EMPTY, Selector.parse(""), "/", List.of(), SERVICE, Selector.parse(""));
        Policy policy = new Policy(
                "p",
                0,
                Selector.parse(""),
                Selector.parse(""),
                TrafficClass.READ,
                1_000,
                3,
                idempotent,
                Policy.KeyRule.IGNORED);
        return new RouteMatch(brand, route, policy, new ServiceSpec(SERVICE, Labels.EMPTY, SLOTS, 110, 48));
    }
}
