package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.berylwick.node.log.NodeMetricNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how an owner divides its slots among organisations, in virtual time. */
class OwnerSharesTest {
    private static final int ORGANISATIONS = 10;
    private static final int HEAVY_FACTOR = 6;
    private static final long SEED = 7;

    private static double[] demand(double load, int organisations, double firstFactor) {
        double[] shares = new double[organisations];
        Arrays.fill(shares, load / organisations);
        shares[0] *= firstFactor;
        return shares;
    }

    private static OwnerLoadRun run(double load, double firstFactor, boolean tagged) {
        int[] priorities = new int[ORGANISATIONS];
        return new OwnerLoadRun(demand(load, ORGANISATIONS, firstFactor), priorities, tagged, SEED).run();
    }

    private static double othersServed(OwnerLoadRun run) {
        return run.servedFraction(1, run.offered.length);
    }

    private static void assertGoodputKept(OwnerLoadRun with, OwnerLoadRun without) {
        double ratio = (double) with.totalServed() / without.totalServed();
        assertTrue(ratio > 0.99, "goodput by the one without shares: " + ratio);
    }

    /** Guards against equal organisations losing slots to the accounting. */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2})
    void equalOrganisationsAreServedAsWithoutShares(double load) {
        OwnerLoadRun with = run(load, 1, true);
        assertGoodputKept(with, run(load, 1, false));
        double all = with.servedFraction(0, ORGANISATIONS);
        for (int i = 0; i < ORGANISATIONS; i++) {
            assertEquals(all, with.servedFraction(i, i + 1), 0.06, "organisation " + i);
        }
    }

    /** Guards against one organisation that sends six times as much taking slots from the others, or starving. */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2})
    void organisationThatSendsSixTimesAsMuchBearsTheCost(double load) {
        OwnerLoadRun usual = run(load, 1, true);
        OwnerLoadRun overload = run(load, HEAVY_FACTOR, true);
        assertEquals(othersServed(usual), othersServed(overload), 0.02, "served of the others");
        assertGoodputKept(overload, run(load, HEAVY_FACTOR, false));
        double heavy = overload.servedFraction(0, 1);
        double all = overload.servedFraction(0, ORGANISATIONS);
        assertTrue(heavy >= 0.25 * all, heavy + " of the heavy one, " + all + " of all");
    }

    /** Guards against shares that only hold among few organisations, each with many requests in the last seconds. */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2})
    void sharesHoldAmongManySmallOrganisations(double load) {
        int count = 80;
        OwnerLoadRun usual = new OwnerLoadRun(demand(load, count, 1), new int[count], true, SEED).run();
        OwnerLoadRun overload = new OwnerLoadRun(demand(load, count, HEAVY_FACTOR), new int[count], true, SEED).run();
        assertTrue(
                othersServed(overload) > othersServed(usual) - 0.02,
                () -> "served of the others " + othersServed(overload) + " after " + othersServed(usual));
        assertTrue(overload.servedFraction(0, 1) >= 0.25 * overload.servedFraction(0, count), "the heavy one starves");
    }

    /** Guards against a single organisation, or one that shares with none, being treated in another way than none. */
    @Test
    void organisationThatIsAloneIsQueuedAsWithoutOrganisation() {
        double[] alone = {1.3};
        OwnerLoadRun with = new OwnerLoadRun(alone, new int[1], true, SEED).run();
        OwnerLoadRun without = new OwnerLoadRun(alone, new int[1], false, SEED).run();
        assertArrayEquals(without.served, with.served);
        assertEquals(without.lateRefusals, with.lateRefusals);
    }

    /** Guards against accounts being kept, or requests being counted as above a share, without organisations. */
    @Test
    void requestsWithoutOrganisationAreNotCounted() {
        OwnerLoadRun run = run(2, HEAVY_FACTOR, false);
        assertEquals(0, run.rig.owner.shares().size());
        assertEquals(0, run.rig.counters.count(NodeMetricNames.OWNER_REFUSED_ABOVE_SHARE));
        assertEquals(0, run.rig.counters.count(NodeMetricNames.OWNER_EVICTED_ABOVE_SHARE));
    }

    /** Guards against queued requests of the heavy organisation that keep their place until they time out. */
    @Test
    void queuedRequestsAboveTheShareAreEvictedForOthers() {
        OwnerLoadRun run = run(0.8, HEAVY_FACTOR, true);
        assertTrue(run.rig.counters.count(NodeMetricNames.OWNER_EVICTED_ABOVE_SHARE) > 0);
        assertTrue(run.rig.counters.count(NodeMetricNames.OWNER_REFUSED_ABOVE_SHARE) > 0);
        assertTrue(run.lateRefusals < 0.1 * run.offered[0], run.lateRefusals + " refused after a wait");
    }

    /** Guards against an organisation above its share pushing more urgent requests behind less urgent ones. */
    @ParameterizedTest
    @ValueSource(doubles = {1.0, 1.3, 2})
    void moreUrgentOrganisationsAreServedNoLess(double load) {
        int[] priorities = {0, 0, 0, 0, 0, 3, 3, 3, 3, 3};
        OwnerLoadRun run = new OwnerLoadRun(demand(load, ORGANISATIONS, HEAVY_FACTOR), priorities, true, SEED).run();
        double urgent = run.servedFraction(1, 5);
        double lessUrgent = run.servedFraction(5, ORGANISATIONS);
        assertTrue(urgent >= lessUrgent - 0.01, urgent + " of the urgent, " + lessUrgent + " of the others");
    }

    /** Guards against callers gaining from sending refused requests again at once. */
    @ParameterizedTest
    @ValueSource(doubles = {1.3, 2})
    void callersThatReturnAtOnceGainNothing(double load) {
        OwnerLoadRun waiting = run(load, HEAVY_FACTOR, true);
        OwnerLoadRun returning = new OwnerLoadRun(
                        demand(load, ORGANISATIONS, HEAVY_FACTOR), new int[ORGANISATIONS], true, SEED)
                .withReturning(0)
                .run();
        assertEquals(waiting.servedFraction(0, 1), returning.servedFraction(0, 1), 0.02, "served of those that return");
        assertEquals(othersServed(waiting), othersServed(returning), 0.02, "served of the others");
    }
}
