package org.berylwick.bench.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Four real nodes under a seeded series of kills, planned stops, pauses, replaced backend servers, a store in trouble
 * and new versions: no request runs twice that must not, no answer is mixed or cut, no refusal is untrue, no version
 * goes back, and after a calm all is well again. Each seed that ever failed stays here.
 */
@Timeout(180)
class NodeSoakTest {
    @ParameterizedTest
    @ValueSource(longs = 1)
    void nothingThatMustNotHappenDoes(long seed) throws Exception {
        assertEquals(List.of(), new NodeSoak().soak(seed, 20, 4, System.out));
    }

    /** Guards against requests that get neither an answer nor a refusal from a node that is told to stop. */
    @ParameterizedTest
    @ValueSource(longs = {1, 3})
    void plannedWorkLosesNoRequest(long seed) throws Exception {
        assertEquals(List.of(), new NodeSoak().soakPlanned(seed, 30, 6, System.out));
    }

    /** Guards against requests to backend servers that have left, after their nodes were killed. */
    @ParameterizedTest
    @ValueSource(longs = {2, 6})
    void departedBackendServersGetNoRequests(long seed) throws Exception {
        assertEquals(List.of(), new NodeSoak().soakLeaves(seed, 20, 4, System.out));
    }
}
