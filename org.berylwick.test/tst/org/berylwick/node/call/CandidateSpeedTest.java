package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.berylwick.node.call.Candidate.Distance;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests the choice among backend servers of which some are slowed down at this moment. */
class CandidateSpeedTest {
    private static final long MS = 1_000_000L;
    private static final int SLOTS = 12;
    private static final RequestProfile REQUEST = new RequestProfile(
            new RequestClass(RouteKind.IDEMPOTENT, 1, 300),
            500,
            100 * MS,
            300 * MS,
            1_000 * MS,
            500 * MS,
            1,
            false,
            false);

    private final CandidateChooser chooser = new CandidateChooser(() -> 0.5);

    private static Candidate candidate(int pending, long meanMillis, Slowdown slowdown) {
        return new Candidate(
                Optional.empty(),
                new OwnerLoad(Math.min(SLOTS, pending), Math.max(0, pending - SLOTS), SLOTS, meanMillis * MS),
                List.of(),
                pending,
                0,
                0,
                LinkLoad.NONE,
                Distance.SAME_ZONE,
                false,
                slowdown,
                false);
    }

    private Candidate chosen(Candidate... candidates) {
        return chooser.choose(List.of(candidates), REQUEST).orElseThrow().candidate();
    }

    /** Guards against a server that keeps its rank while it is slowed down. */
    @Test
    void usuallyFasterServerIsPassedOverWhileItIsSlow() {
        Candidate usuallyFaster = candidate(0, 60, Slowdown.ofPercent(300));
        Candidate other = candidate(0, 100, Slowdown.ofPercent(100));
        assertEquals(other, chosen(usuallyFaster, other));
    }

    /** Guards against a server that is passed over because of a figure from long ago. */
    @Test
    void oldFigureDoesNotCount() {
        Slowdown old = Slowdown.ofPercent(300).after(3_000 * MS);
        Candidate usuallyFaster = candidate(0, 60, old);
        assertEquals(usuallyFaster, chosen(usuallyFaster, candidate(0, 100, Slowdown.ofPercent(100))));
    }

    /** Guards against a free fast server beside a slow one at which requests queue, though both would be in time. */
    @Test
    void freeFastServerIsPreferredToOneWithAQueue() {
        Candidate queued = candidate(SLOTS + 2, 60, Slowdown.ofPercent(200));
        Candidate free = candidate(SLOTS - 1, 90, Slowdown.ofPercent(60));
        assertEquals(free, chosen(queued, free));
    }

    /** Guards against a wait at a server that is slowed down, which is expected as if it were not. */
    @Test
    void waitIsExpectedAtTheCurrentSpeed() {
        Candidate usual = candidate(SLOTS + 5, 100, Slowdown.NONE);
        Candidate slow = candidate(SLOTS + 5, 100, Slowdown.ofPercent(300));
        assertTrue(slow.waitNanos() > 2 * usual.waitNanos());
    }
}
