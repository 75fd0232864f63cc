package org.berylwick.node.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.berylwick.node.lib.RolloutPhase;
import org.junit.jupiter.api.Test;

/** Plays roll-outs on emulated fleets and checks what the versions get and what the operator is told. */
class RolloutDaysTest {
    private static final double EXPOSURE_SHARE = 0.1;
    private static final double EXPOSURE_SLACK = 50;
    private static final double ROLLBACK_SECONDS = 5;
    private static final double ORDER_SECONDS = 16;

    private record Day(RolloutFleet fleet, Optional<RolloutPhase> outcome, long requestsInTime, long targetInTime) {
        void assertExposureKept(String day) {
            double allowed = EXPOSURE_SHARE * requestsInTime + EXPOSURE_SLACK;
            assertTrue(targetInTime <= allowed, day + ": " + targetInTime + " requests of " + requestsInTime);
            double sinceFiftieth = (fleet.lastTargetRequestAt - fleet.fiftiethBadAt) / 1e9;
            assertTrue(
                    fleet.fiftiethBadAt == Long.MAX_VALUE || sinceFiftieth <= ROLLBACK_SECONDS,
                    day + ": a request " + sinceFiftieth + " s after the 50th bad response");
        }
    }

    /** Plays an order from before its first backend server until some seconds after its time limit. */
    private static Day play(long seed, int size, RolloutFleet.Behaviour behaviour, double badFrom, boolean troubled) {
        RolloutFleet fleet = new RolloutFleet(seed, size);
        Random random = new Random(seed);
        int rate = 25 * size;
        fleet.startOld(size / 2);
        fleet.run(3, rate);
        fleet.requests = 0;
        fleet.store.give(ORDER_SECONDS);
        fleet.startNew(size / 2);
        if (badFrom == 0) {
            fleet.setTarget(behaviour);
        }
        double outFrom = troubled ? 1 + random.nextInt(8) : ORDER_SECONDS;
        int paused = random.nextInt(size);
        for (int second = 0; second < ORDER_SECONDS; second++) {
            if (second >= badFrom) {
                fleet.setTarget(behaviour);
            }
            boolean inTrouble = second >= outFrom && second < outFrom + 3;
            fleet.store.setOut(inTrouble);
            fleet.pause(paused, inTrouble);
            fleet.run(1, rate);
        }
        Optional<RolloutPhase> outcome = fleet.store.outcome();
        long requestsInTime = fleet.requests;
        long targetInTime = fleet.targetRequests;
        fleet.run(3, rate);
        return new Day(fleet, outcome, requestsInTime, targetInTime);
    }

    /** Guards against a version that plainly fails or is several times slower getting more than its small share. */
    @Test
    void badVersionsAreRolledBackWithinTheirExposure() {
        int rolledBack = 0;
        int days = 100;
        for (int seed = 0; seed < days; seed++) {
            Random random = new Random(seed);
            boolean fails = random.nextBoolean();
            double share = 0.1 + 0.9 * random.nextDouble();
            RolloutFleet.Behaviour behaviour = fails
                    ? new RolloutFleet.Behaviour(share, 0, 1)
                    : new RolloutFleet.Behaviour(0.001, Math.max(0.3, share), 3 + 7 * random.nextDouble());
            double badFrom = random.nextBoolean() ? 0 : random.nextInt(10);
            Day day = play(seed, 12, behaviour, badFrom, seed % 3 == 0);
            day.assertExposureKept("seed " + seed + " " + behaviour + " from " + badFrom);
            rolledBack += day.outcome().equals(Optional.of(RolloutPhase.ROLLED_BACK)) ? 1 : 0;
        }
        assertTrue(rolledBack >= 0.99 * days, rolledBack + " of " + days + " rolled back");
    }

    /** Guards against a good version being taken for a bad one, or staying in doubt past its time limit. */
    @Test
    void goodVersionsCompleteInTime() {
        int complete = 0;
        int days = 100;
        for (int seed = 0; seed < days; seed++) {
            Day day = play(seed, 12, RolloutFleet.Behaviour.GOOD, 0, seed % 3 == 0);
            complete += day.outcome().equals(Optional.of(RolloutPhase.COMPLETE)) ? 1 : 0;
            assertEquals(0, day.fleet().oldAfterComplete, "seed " + seed + ": requests ran at stopped servers");
        }
        assertTrue(complete >= 0.99 * days, complete + " of " + days + " complete");
    }

    /** Guards against a share that grows with the fleet, or news that spread too slowly in a large one. */
    @Test
    void largeFleetsKeepTheExposure() {
        for (int seed = 0; seed < 3; seed++) {
            Day bad = play(seed, 67, new RolloutFleet.Behaviour(0.3, 0, 1), 2 * seed, true);
            bad.assertExposureKept("seed " + seed);
            assertEquals(Optional.of(RolloutPhase.ROLLED_BACK), bad.outcome());
            Day good = play(seed, 67, RolloutFleet.Behaviour.GOOD, 0, false);
            assertEquals(Optional.of(RolloutPhase.COMPLETE), good.outcome());
        }
    }

    /** Guards against an outcome that is taken back, by a writer with an old belief or after a second look. */
    @Test
    void operatorIsToldOneOutcomeOnce() {
        for (int seed = 0; seed < 10; seed++) {
            Day day = play(seed, 12, new RolloutFleet.Behaviour(0.5, 0, 1), seed, true);
            List<RolloutPhase> told = day.fleet().store.told();
            assertEquals(List.of(RolloutPhase.TRIAL, RolloutPhase.ROLLED_BACK), told, "seed " + seed);
        }
    }

    /** Guards against a version getting all its requests because the order that is to limit them cannot be read. */
    @Test
    void unusableOrderLeavesTheVersionInDoubtUntilItIsMended() {
        RolloutFleet fleet = new RolloutFleet(68, 12);
        fleet.startOld(6);
        fleet.run(3, 300);
        fleet.requests = 0;
        fleet.store.leaveUnusable(RolloutFleet.SERVICE);
        fleet.startNew(6);
        fleet.run(5, 300);
        assertTrue(
                fleet.targetRequests <= EXPOSURE_SHARE * fleet.requests + EXPOSURE_SLACK,
                fleet.targetRequests + " requests of " + fleet.requests);
        fleet.store.give(ORDER_SECONDS);
        fleet.run(ORDER_SECONDS, 300);
        assertEquals(Optional.of(RolloutPhase.COMPLETE), fleet.store.outcome());
    }

    /** Guards against orders that nobody can carry out using up the room for the one that is under way. */
    @Test
    void ordersForOtherServicesLeaveRoom() {
        RolloutFleet fleet = new RolloutFleet(68, 12);
        fleet.startOld(6);
        fleet.run(3, 300);
        fleet.store.leaveOthers(100);
        fleet.store.give(ORDER_SECONDS);
        fleet.startNew(6);
        fleet.run(ORDER_SECONDS, 300);
        assertEquals(Optional.of(RolloutPhase.COMPLETE), fleet.store.outcome());
    }
}
