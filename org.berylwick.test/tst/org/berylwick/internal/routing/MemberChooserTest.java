package org.berylwick.internal.routing;

import static org.berylwick.internal.routing.MemberChooserFixture.CEBU;
import static org.berylwick.internal.routing.MemberChooserFixture.MAKATI;
import static org.berylwick.internal.routing.MemberChooserFixture.PASIG;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;
import org.junit.jupiter.api.Test;

/** Tests that requests go to near members that are neither loaded nor failing. */
class MemberChooserTest {
    private static final int CHOICES = 1_000;

    private final MemberChooserFixture f = new MemberChooserFixture();

    @Test
    void localZoneIsUsedWhileBelowSpillThreshold() {
        f.add("near", MAKATI);
        f.add("far", PASIG);
        assertEquals(Map.of("near", CHOICES), f.countChoices(CHOICES));
    }

    @Test
    void requestsSpillGraduallyBeforeLocalZoneIsFull() {
        // The only member in the local zone fills up. Some requests go to the next zone before it is full, and some
        // stay even when it is full: sending all of them over at once would overload the next zone.
        Member near = f.add("near", MAKATI);
        f.add("there", PASIG);
        f.startRequests(near, 10);
        int spilled = f.countChoices(CHOICES).getOrDefault("there", 0);
        assertTrue(spilled > CHOICES / 10 && spilled < CHOICES / 2, "spilled " + spilled);
        f.startRequests(near, 4);
        int spilledWhenFull = f.countChoices(CHOICES).getOrDefault("there", 0);
        assertTrue(spilledWhenFull > spilled && spilledWhenFull < CHOICES * 6 / 10, "spilled " + spilledWhenFull);
    }

    @Test
    void fullZoneKeepsRequestsWhenOtherZonesAreAsFull() {
        Member near = f.add("near", MAKATI);
        Member there = f.add("there", PASIG);
        f.startRequests(near, 12);
        f.startRequests(there, 12);
        assertEquals(Map.of("near", CHOICES), f.countChoices(CHOICES));
    }

    @Test
    void otherRegionIsNotUsedWhileLocalRegionHasCapacity() {
        Member near = f.add("near", MAKATI);
        f.add("region", PASIG);
        f.add("far", CEBU);
        f.startRequests(near, 12);
        assertFalse(f.countChoices(CHOICES).containsKey("far"));
    }

    @Test
    void reportedLoadDecaysWithAge() {
        // A member reported full load caused by other daemons in its last reply, and got no requests since. Without
        // decay of the reported load it would never get a request again, even if it has long been idle.
        Member a = f.add("a", MAKATI);
        f.add("b", MAKATI);
        f.loads.begin(a).reportLoad(12);
        assertTrue(f.countChoices(CHOICES).getOrDefault("a", 0) == 0);
        f.time.advance(MemberLoadRecord.LOAD_REPORT_EXPIRY);
        Member b = f.members.get(1);
        f.startRequests(b, 2);
        assertTrue(f.countChoices(CHOICES).getOrDefault("a", 0) > CHOICES / 2);
    }

    @Test
    void localRequestsInReportedLoadAreNotCountedTwice() {
        Member a = f.add("a", MAKATI);
        f.startRequests(a, 4);
        f.loads.begin(a).reportLoad(5);
        assertEquals(5, f.loads.record(a).load(f.time.nanoTime()));
    }

    @Test
    void failingMemberIsEjectedAndProbedByOneRequestAtATime() {
        // A backend server that fails every request at once always looks idle and would attract ever more requests.
        // After five failures it gets none. One second later it is probed by one idempotent request at a time. Three
        // successes readmit it; one failure ejects it again for twice as long.
        Member bad = f.add("bad", MAKATI);
        f.add("good", MAKATI);
        f.failRequests(bad, EjectionState.FAILURES_TO_EJECT);
        assertEquals(Map.of("good", CHOICES), f.countChoices(CHOICES));
        f.time.advance(EjectionState.INITIAL_BACKOFF);
        assertEquals(Map.of("good", CHOICES), f.countChoices(CHOICES));
        assertEquals("bad", f.chooseMember(true).instance());
        try (PeerLoads.Attempt probe = f.loads.begin(bad)) {
            assertEquals("good", f.chooseMember(true).instance());
            probe.failed("again");
        }
        f.time.advance(EjectionState.INITIAL_BACKOFF.multipliedBy(2).minusMillis(1));
        assertEquals("good", f.chooseMember(true).instance());
        f.time.advance(Duration.ofMillis(1));
        for (int i = 0; i < EjectionState.SUCCESSES_TO_READMIT; i++) {
            assertEquals("bad", f.chooseMember(true).instance());
            respondAfter(bad, Duration.ZERO);
        }
        assertTrue(f.countChoices(CHOICES).containsKey("bad"));
    }

    @Test
    void probationExpiresWithoutIdempotentRequests() {
        // Non-idempotent requests must not be used as probes. In a service that gets no other requests, an ejected
        // member would never be readmitted if its probation did not expire.
        Member bad = f.add("bad", MAKATI);
        f.add("good", MAKATI);
        f.failRequests(bad, EjectionState.FAILURES_TO_EJECT);
        f.time.advance(EjectionState.INITIAL_BACKOFF.plus(EjectionState.MAX_PROBATION));
        assertTrue(f.countChoices(CHOICES).containsKey("bad"));
    }

    @Test
    void timeoutsOfVeryShortDeadlinesDoNotEject() {
        Member a = f.add("a", MAKATI);
        f.add("b", MAKATI);
        for (int i = 0; i < CHOICES; i++) {
            try (PeerLoads.Attempt attempt = f.loads.begin(a)) {
                attempt.outcomeUnknown("no answer in time", 5);
            }
        }
        assertEquals(EjectionState.Status.HEALTHY, f.loads.record(a).ejectionStatus(f.time.nanoTime()));
    }

    @Test
    void memberMuchSlowerThanOthersIsEjected() {
        // One of four members responds successfully, but only after two seconds, so only its latency shows the fault.
        Member slow = f.add("slow", MAKATI);
        f.add("b", MAKATI);
        f.add("c", MAKATI);
        f.add("d", MAKATI);
        for (int i = 0; i < 40; i++) {
            f.members.forEach(m -> respondAfter(m, Duration.ofMillis(m == slow ? 2_000 : 20)));
        }
        assertFalse(f.countChoices(CHOICES).containsKey("slow"));
    }

    @Test
    void memberInOtherRegionIsNotEjectedAsSlow() {
        Member far = f.add("far", CEBU);
        f.add("b", MAKATI);
        f.add("c", MAKATI);
        f.add("d", MAKATI);
        for (int i = 0; i < 40; i++) {
            f.members.forEach(m -> respondAfter(m, Duration.ofMillis(m == far ? 200 : 1)));
        }
        assertEquals(EjectionState.Status.HEALTHY, f.loads.record(far).ejectionStatus(f.time.nanoTime()));
    }

    @Test
    void restartedMemberGetsItsShareGradually() {
        for (String name : new String[] {"a", "b", "c", "d"}) {
            f.add(name, MAKATI);
        }
        f.countChoices(1);
        f.add("d", MAKATI, Member.State.UP, 60_000);
        int cold = f.countChoices(CHOICES).getOrDefault("d", 0);
        f.time.advance(MemberLoadRecord.SLOW_START_DURATION.dividedBy(2));
        int warmer = f.countChoices(CHOICES).getOrDefault("d", 0);
        f.time.advance(MemberLoadRecord.SLOW_START_DURATION);
        int warm = f.countChoices(CHOICES).getOrDefault("d", 0);
        assertTrue(cold > 0 && cold < CHOICES / 8, "cold " + cold);
        assertTrue(warmer > cold && warm > warmer, cold + " " + warmer + " " + warm);
    }

    @Test
    void refutedSuspicionKeepsLoadRecord() {
        // After a network partition every member refutes a suspicion with its next incarnation. It has not restarted,
        // so its record of requests in flight and of failures must be kept.
        Member a = f.add("a", MAKATI);
        f.add("b", MAKATI);
        f.countChoices(1);
        f.startRequests(a, 3);
        f.failRequests(a, EjectionState.FAILURES_TO_EJECT);
        Member refuted = f.add("a", MAKATI, Member.State.UP, 2);
        f.countChoices(1);
        assertEquals(3, f.loads.record(refuted).inFlight());
        assertEquals(EjectionState.Status.EJECTED, f.loads.record(refuted).ejectionStatus(f.time.nanoTime()));
    }

    @Test
    void membersKnownAtProcessStartHaveFullWeight() {
        Member a = f.add("a", MAKATI);
        f.countChoices(1);
        assertEquals(1, f.loads.record(a).slowStartFactor(f.time.nanoTime()));
    }

    @Test
    void loadRecordOfRemovedMemberIsDropped() {
        Member a = f.add("a", MAKATI);
        f.add("b", MAKATI);
        f.countChoices(1);
        assertEquals(2, f.loads.recordCount());
        f.remove(a);
        f.countChoices(1);
        assertEquals(1, f.loads.recordCount());
    }

    @Test
    void serviceWithOnlyStartingMembersReportsStarting() {
        f.add("a", MAKATI, Member.State.STARTING, 1);
        f.add("b", PASIG, Member.State.STARTING, 1);
        assertEquals(new MemberChoice.NoMember(RefusalReason.STARTING), f.choose(true, Set.of()));
    }

    @Test
    void refusingMemberIsTriedAgainOnlyAfterAllOthers() {
        f.add("a", MAKATI);
        f.add("b", PASIG);
        f.add("c", CEBU);
        assertNotEquals(
                "a",
                ((MemberChoice.Chosen) f.choose(true, Set.of("a"))).member().instance());
        assertEquals(
                "c",
                ((MemberChoice.Chosen) f.choose(true, Set.of("a", "b")))
                        .member()
                        .instance());
        assertInstanceOf(MemberChoice.AllTried.class, f.choose(true, Set.of("a", "b", "c")));
    }

    private void respondAfter(Member m, Duration after) {
        try (PeerLoads.Attempt a = f.loads.begin(m)) {
            f.time.advance(after);
            a.responseStarted(true);
        }
    }
}
