package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that extra requests keep to their share, also when every request is slow. */
class HedgeBudgetTest {
    private static final long SECONDS = 1_000_000_000L;

    /** Guards against intervals in which saved or expired counts let a node exceed the share by more than the burst. */
    @Property(tries = 60)
    void noIntervalExceedsShareAndBurst(
            @ForAll @DoubleRange(min = 0.01, max = 0.2) double share,
            @ForAll @IntRange(min = 1, max = 200) int perSecond,
            @ForAll long seed) {
        Random random = new Random(seed);
        HedgeBudget budget = new HedgeBudget(share);
        long now = 0;
        // The excess of hedges over the share, less its minimum so far, is the largest excess of an interval.
        double excess = 0;
        double minExcess = 0;
        boolean idle = false;
        while (now < 60 * SECONDS) {
            now += (long) (random.nextDouble() * 2 * SECONDS / perSecond);
            idle ^= random.nextInt(5 * perSecond) == 0;
            if (!idle) {
                budget.onRequest(now);
                minExcess = Math.min(minExcess, excess);
                excess -= share;
            }
            if (random.nextInt(3) > 0 && budget.hasRoom(now)) {
                budget.take(now);
                excess += 1;
            }
            minExcess = Math.min(minExcess, excess);
            double largest = excess - minExcess;
            assertTrue(largest <= HedgeBudget.BURST + 1e-6, largest + " hedges beyond the share");
        }
    }

    /** Guards against a fleet that exceeds the share, since each of its nodes uses its burst at the same time. */
    @Property(tries = 10)
    void fleetKeepsToShareWhenAllServersTurnSlow(
            @ForAll @DoubleRange(min = 0.01, max = 0.2) double share, @ForAll long seed) {
        Random random = new Random(seed);
        List<HedgeBudget> budgets = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            budgets.add(new HedgeBudget(share));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> hedges = new ArrayList<>();
        long slowAt = 20 * SECONDS;
        for (long now = 0; now < 60 * SECONDS; now += (long) (random.nextDouble() * 4_000_000)) {
            HedgeBudget budget = budgets.get(random.nextInt(budgets.size()));
            budget.onRequest(now);
            requests.add(now);
            while (now >= slowAt && budget.hasRoom(now)) {
                budget.take(now);
                hedges.add(now);
            }
        }
        assertFalse(hedges.isEmpty());
        for (long start = 0; start < 50 * SECONDS; start += SECONDS / 10) {
            long end = start + HedgeBudget.WINDOW_NANOS;
            double allowed = share * countBetween(requests, start, end);
            long sent = countBetween(hedges, start, end);
            assertTrue(sent <= allowed, sent + " hedges, allowed " + allowed);
        }
    }

    private static long countBetween(List<Long> times, long start, long end) {
        return times.stream().filter(t -> t >= start && t < end).count();
    }

    /** Guards against refused hedges that use up the share, and against a return that adds to it. */
    @Test
    void refusedHedgeIsReturned() {
        HedgeBudget budget = new HedgeBudget(0.2);
        for (int i = 0; i < 6; i++) {
            budget.onRequest(0);
        }
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.hasRoom(i));
            budget.take(i);
            assertFalse(budget.hasRoom(i));
            budget.release(i, i + 1);
        }
        budget.take(10);
        assertFalse(budget.hasRoom(10));
    }

    /** Guards against hedges of a node that has just started and has seen no requests. */
    @Test
    void beginsWithoutTokens() {
        HedgeBudget budget = new HedgeBudget(0.2);
        assertFalse(budget.hasRoom(0));
        for (int i = 0; i < 6; i++) {
            assertFalse(budget.hasRoom(i));
            budget.onRequest(i);
        }
        assertTrue(budget.hasRoom(6));
    }
}
