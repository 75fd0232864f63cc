package org.berylwick.internal.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.internal.routing.Tiers.Distance;
import org.berylwick.internal.routing.Tiers.Tier;
import org.berylwick.lib.Member;
import org.berylwick.lib.Member.State;
import org.berylwick.lib.Place;
import org.berylwick.lib.RefusalReason;

/** Properties of the choice of a member for any states, loads and failures of the members. */
class MemberChooserPropertyTest {
    private static final Place[] PLACES = {
        MemberChooserFixture.MAKATI, MemberChooserFixture.PASIG, MemberChooserFixture.CEBU
    };

    @Property(seed = "20271", tries = 300)
    void membersInStateUpArePreferredToSuspectOnes(@ForAll long seed, @ForAll @IntRange(max = 9) int count) {
        // Members are in any state, and some have failed requests or have refused this one. A member that is up is
        // preferred to a suspect one. A member that is starting, leaving or gone never gets the request.
        Random random = new Random(seed);
        MemberChooserFixture f = new MemberChooserFixture(seed);
        Set<String> tried = new HashSet<>();
        for (int i = 0; i < count; i++) {
            State state = State.values()[random.nextInt(State.values().length)];
            Member m = f.add("m" + i, PLACES[random.nextInt(3)], state, 1);
            f.startRequests(m, random.nextInt(20));
            f.failRequests(m, random.nextInt(8));
            if (random.nextInt(4) == 0) {
                tried.add(m.instance());
            }
        }
        f.time.advance(Duration.ofMillis(random.nextInt(3_000)));
        List<Member> untried =
                f.members.stream().filter(m -> !tried.contains(m.instance())).toList();
        boolean untriedUp = untried.stream().anyMatch(m -> m.state() == State.UP);
        boolean untriedSuspect = untried.stream().anyMatch(m -> m.state() == State.SUSPECT);
        boolean usable = f.members.stream().anyMatch(m -> m.state() == State.UP || m.state() == State.SUSPECT);
        for (int i = 0; i < 20; i++) {
            switch (f.choose(random.nextBoolean(), tried)) {
                case MemberChoice.Chosen(Member m) -> {
                    assertFalse(tried.contains(m.instance()));
                    assertEquals(untriedUp ? State.UP : State.SUSPECT, m.state());
                }
                case MemberChoice.AllTried(Member m) -> {
                    assertFalse(untriedUp || untriedSuspect);
                    assertTrue(tried.contains(m.instance()));
                }
                case MemberChoice.NoMember(RefusalReason reason) -> {
                    assertFalse(usable);
                    boolean starting = f.members.stream().anyMatch(m -> m.state() == State.STARTING);
                    assertEquals(starting, reason == RefusalReason.STARTING);
                }
            }
        }
    }

    @Property(seed = "20272", tries = 150)
    void atLeastHalfOfServiceStaysInUseWhenRequestsToAnyMemberFail(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int count) {
        // The fault is in this process, so requests to any member fail. No matter how many members look failed, at
        // least half of them must keep getting requests, or the service is unavailable to the callers of this process.
        Random random = new Random(seed);
        MemberChooserFixture f = new MemberChooserFixture(seed);
        for (int i = 0; i < count; i++) {
            Member m = f.add("m" + i, MemberChooserFixture.MAKATI);
            f.failRequests(m, random.nextInt(3) == 0 ? 0 : 30);
        }
        assertTrue(f.countChoices(600).size() >= count - count / 2);
    }

    @Property(seed = "20273", tries = 500)
    void spilloverGrowsContinuouslyAndNeverTakesAllRequests(
            @ForAll @DoubleRange(max = 40) double nearLoad,
            @ForAll @DoubleRange(max = 40) double fartherLoad,
            @ForAll @IntRange(min = 1, max = 40) int fartherSlots) {
        double capacity = 12;
        double kept = keptShare(nearLoad, capacity, fartherLoad, fartherSlots);
        double keptAtHigherLoad = keptShare(nearLoad + 0.1, capacity, fartherLoad, fartherSlots);
        assertTrue(kept >= capacity / (capacity + fartherSlots) - 1e-9 && kept <= 1);
        assertTrue(keptAtHigherLoad <= kept + 1e-9);
        assertTrue(kept - keptAtHigherLoad < 0.08);
        assertTrue(nearLoad / capacity > Tiers.SPILL_UTILIZATION_THRESHOLD || kept == 1);
        assertTrue(nearLoad / capacity > fartherLoad / fartherSlots || kept == 1);
    }

    @Property(seed = "20274", tries = 150)
    void requestsInFlightAreCountedExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        MemberChooserFixture f = new MemberChooserFixture(seed);
        Member m = f.add("m", MemberChooserFixture.MAKATI);
        List<PeerLoads.Attempt> open = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            if (open.isEmpty() || random.nextBoolean()) {
                open.add(f.loads.begin(m));
            } else {
                PeerLoads.Attempt a = open.remove(random.nextInt(open.size()));
                a.reportLoad(random.nextInt(30));
                a.close();
                a.close();
            }
            assertEquals(open.size(), f.loads.record(m).inFlight());
            assertTrue(f.loads.record(m).load(f.time.nanoTime()) >= open.size());
        }
    }

    private static double keptShare(double load, double capacity, double fartherLoad, double fartherCapacity) {
        Tier nearTier = new Tier(Distance.ZONE, List.of(), load, capacity);
        return Tiers.keptShare(nearTier, List.of(new Tier(Distance.REGION, List.of(), fartherLoad, fartherCapacity)));
    }
}
