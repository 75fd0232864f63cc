package org.berylwick.node.version;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;
import org.junit.jupiter.api.Test;

class VersionFreshnessTest {
    private static final long MILLIS = 1_000_000L;

    private final VirtualClock clock = new VirtualClock();
    private final MemberTable members = new MemberTable(ip -> null, (member, cause) -> {});
    private long currentNumber = 5;
    private final VersionFreshness freshness = new VersionFreshness(clock, members, () -> currentNumber, () -> {});
    private final List<Boolean> decisions = new ArrayList<>();

    private void announce(long number) {
        NodeState state = new NodeState(
                1,
                number,
                "zone-a",
                1_000,
                number,
                true,
                false,
                "",
                "",
                BackendState.ABSENT,
                0,
                OwnerLoad.NONE,
                List.of());
        members.update("10.0.0.9", state, clock.now());
        freshness.onMemberUpdated(members.find("10.0.0.9").orElseThrow());
    }

    /** Guards against a poll of the store that fails refusing the requests that wait for a version on its way. */
    @Test
    void failedReadLeavesThoseWaitingThatAwaitANewerVersion() {
        announce(6);
        freshness.decide(decisions::add);
        clock.runUntil(100 * MILLIS);
        freshness.onStoreReadEnded();
        assertEquals(List.of(), decisions);
        currentNumber = 6;
        freshness.decideWaiting();
        assertEquals(1, decisions.size());
    }

    /** Guards against requests that wait for good for a version that does not arrive. */
    @Test
    void waitEndsWithoutTheVersion() {
        announce(6);
        freshness.decide(decisions::add);
        freshness.onStoreReadEnded();
        clock.runUntil(1_000 * MILLIS);
        assertEquals(List.of(false), decisions);
    }
}
