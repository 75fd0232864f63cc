package org.berylwick.node.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;
import org.junit.jupiter.api.Test;

class RolloutTableTest {
    private static RolloutState state(String version, long order, RolloutPhase phase) {
        return new RolloutState("work", version, order, phase, 10, 20);
    }

    /** Guards against nodes that got the same news in another order disagreeing for good. */
    @Property(tries = 200)
    void orderAndRepetitionOfNewsMakeNoDifference(@ForAll long seed) {
        Random random = new Random(seed);
        List<RolloutState> news = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            RolloutPhase phase = RolloutPhase.values()[random.nextInt(RolloutPhase.values().length)];
            news.add(new RolloutState(
                    "s" + random.nextInt(2),
                    "v" + random.nextInt(3),
                    random.nextInt(3),
                    phase,
                    random.nextInt(5),
                    random.nextInt(5)));
        }
        RolloutTable one = new RolloutTable();
        news.forEach(one::merge);
        Collections.shuffle(news, random);
        RolloutTable other = new RolloutTable();
        news.forEach(other::merge);
        news.forEach(other::merge);
        assertEquals(phases(one), phases(other));
    }

    private static HashSet<String> phases(RolloutTable table) {
        HashSet<String> phases = new HashSet<>();
        table.all().forEach(s -> phases.add(s.service() + s.version() + s.order() + s.phase()));
        return phases;
    }

    /** Guards against a version getting its full share before anybody has read whether an order names it. */
    @Test
    void versionThatNobodyKnowsIsInDoubt() {
        RolloutTable table = new RolloutTable();
        Map<String, Integer> servers = Map.of("v1", 9, "v2", 1);
        assertEquals(Standing.ESTABLISHED, table.standingOf("work", "v1", servers));
        assertEquals(Standing.IN_DOUBT, table.standingOf("work", "v2", servers));
        table.merge(state("v2", 5, RolloutPhase.NOT_ORDERED));
        assertEquals(Standing.ESTABLISHED, table.standingOf("work", "v2", Map.of("v1", 9, "v2", 9)));
    }

    /** Guards against the old version being excluded, or the new one admitted, in the wrong phase. */
    @Test
    void standingsFollowThePhases() {
        RolloutTable table = new RolloutTable();
        Map<String, Integer> servers = Map.of("v1", 3, "v2", 9);
        table.merge(state("v2", 7, RolloutPhase.TRIAL));
        assertEquals(Standing.ESTABLISHED, table.standingOf("work", "v1", servers));
        assertEquals(Standing.IN_DOUBT, table.standingOf("work", "v2", servers));
        assertTrue(table.merge(state("v2", 7, RolloutPhase.SHIFT)));
        assertEquals(Standing.EXCLUDED, table.standingOf("work", "v1", servers));
        assertEquals(Standing.ESTABLISHED, table.standingOf("work", "v2", servers));
        assertTrue(table.merge(state("v2", 7, RolloutPhase.CONDEMNED)));
        assertEquals(Standing.ESTABLISHED, table.standingOf("work", "v1", servers));
        assertEquals(Standing.EXCLUDED, table.standingOf("work", "v2", servers));
        assertFalse(table.merge(state("v2", 7, RolloutPhase.TRIAL)), "an old belief must not come back");
        assertTrue(table.merge(state("v2", 8, RolloutPhase.TRIAL)), "a new order starts anew");
    }
}
