package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when an attempt is due to be hedged, and each reason not to send the hedge. */
class HedgePolicyTest {
    private static final long MS = 1_000_000L;
    private static final RequestClass CLASS = new RequestClass(RouteKind.IDEMPOTENT, 1, 300);
    private static final ServiceTimeDistribution TIME = new ServiceTimeDistribution(CLASS, 100 * MS, 0.4);

    private final HedgePolicy policy = HedgePolicy.of(0.1).orElseThrow();

    private static Candidate candidate(int pending, List<ServiceTimeDistribution> times, boolean suspect) {
        return new Candidate(
                Optional.empty(),
                new OwnerLoad(pending, 0, 8, 100 * MS),
                times,
                pending,
                0,
                0,
                LinkLoad.NONE,
                Candidate.Distance.SAME_ZONE,
                false,
                suspect);
    }

    private static Candidate idle() {
        return candidate(0, List.of(TIME), false);
    }

    private static HedgePolicy.DueAttempt due(Candidate candidate) {
        return new HedgePolicy.DueAttempt("work", CLASS, 1_000, 1_000 * MS, candidate);
    }

    /** Makes the policy expect late attempts to go on for a long time. */
    private void learnThatLateAttemptsAreStuck() {
        for (int i = 0; i < 10; i++) {
            policy.onLateAttemptEnded(due(idle()), 500 * MS, i < 5);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {-0.01, 0.21, Double.NaN, Double.POSITIVE_INFINITY})
    void invalidShareIsAnError(double share) {
        assertThrows(IllegalArgumentException.class, () -> HedgePolicy.of(share));
    }

    @Test
    void isOffWithoutShare() {
        assertTrue(HedgePolicy.of(0).isEmpty());
    }

    /** Guards against a fixed delay: the due time has to follow the service time that the server's owner tells. */
    @Test
    void dueTimeFollowsServerAndWait() {
        long fast = policy.dueAt(due(idle()), 0);
        long slow = policy.dueAt(due(candidate(0, List.of(TIME.scaledBy(2)), false)), 0);
        long queued = policy.dueAt(due(candidate(15, List.of(TIME), false)), 0);
        assertEquals(0.05, TIME.probabilityOfExceeding(TIME.quantileNanos(0.95)), 1e-6);
        assertTrue(fast > TIME.quantileNanos(0.95) && fast < 1.1 * TIME.quantileNanos(0.95), "due at " + fast);
        assertTrue(slow > 1.9 * fast, "due at " + slow);
        assertEquals(fast + 100 * MS, queued, MS);
    }

    /** Guards against hedges by guess, and against timers for hedges that could not be in time. */
    @Test
    void neverDueWithoutMeasurementOrTime() {
        assertEquals(HedgePolicy.NEVER, policy.dueAt(due(candidate(0, List.of(), false)), 0));
        assertEquals(HedgePolicy.NEVER, policy.dueAt(due(idle()), 900 * MS));
    }

    @Test
    void goesOnlyWhereItStartsAtOnceAndIsInTime() {
        learnThatLateAttemptsAreStuck();
        assertTrue(policy.isWorthwhile(due(idle()), idle(), 200 * MS));
        assertFalse(policy.isWorthwhile(due(idle()), candidate(8, List.of(TIME), false), 200 * MS), "no idle slot");
        assertFalse(policy.isWorthwhile(due(idle()), candidate(0, List.of(TIME), true), 200 * MS), "suspect");
        assertFalse(policy.isWorthwhile(due(idle()), candidate(0, List.of(), false), 200 * MS), "not measured");
        assertFalse(policy.isWorthwhile(due(idle()), idle(), 880 * MS), "not before the deadline");
    }

    /** Guards against extra work for requests that take long wherever they run, or are about to end. */
    @Test
    void isNotWorthwhileWhenLateAttemptsSoonEnd() {
        for (int i = 0; i < 40; i++) {
            policy.onLateAttemptEnded(due(idle()), 20 * MS, true);
        }
        assertFalse(policy.isWorthwhile(due(idle()), idle(), 200 * MS));
    }

    /** Guards against extra requests when a service has too little capacity. */
    @Test
    void stopsWhenServiceIsShort() {
        assertTrue(HedgePolicy.hasCapacity(List.of(idle(), idle())));
        assertFalse(HedgePolicy.hasCapacity(List.of(candidate(7, List.of(), false), candidate(8, List.of(), false))));
        assertFalse(HedgePolicy.hasCapacity(List.of()));
        policy.onShortage("work", 0);
        assertTrue(policy.isShort("work", 249 * MS));
        assertFalse(policy.isShort("work", 250 * MS));
        assertFalse(policy.isShort("other", 0));
    }

    /** Guards against reading a single refusal, which stale load reports cause, as a lack of capacity. */
    @Test
    void isShortWhenManyRequestsAreRefused() {
        for (int i = 0; i < 300; i++) {
            policy.onRequest("work", i);
            if (i % 8 == 0) {
                policy.onRefused("work");
            }
        }
        assertFalse(policy.isShort("work", 300), "one in eight refused");
        for (int i = 0; i < 300; i++) {
            policy.onRequest("work", i);
            if (i % 5 < 2) {
                policy.onRefused("work");
            }
        }
        assertTrue(policy.isShort("work", 600), "four in ten refused");
    }
}
