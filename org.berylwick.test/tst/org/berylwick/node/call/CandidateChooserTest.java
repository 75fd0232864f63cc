package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.node.call.Candidate.Distance;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.junit.jupiter.api.Test;

/**
 * Tests that nodes in the own zone are preferred, that requests with small responses move to other zones before those
 * with large ones, and that a node is found for every request that can be served in time.
 */
class CandidateChooserTest {
    private static final long MS = 1_000_000L;
    private static final RequestClass REQUEST_CLASS = new RequestClass(RouteKind.IDEMPOTENT, 1, 600);
    private static final RequestProfile SMALL_RESPONSE = profile(2_000);
    private static final RequestProfile LARGE_RESPONSE = profile(90_000);

    private static RequestProfile profile(double bytes) {
        return new RequestProfile(REQUEST_CLASS, bytes, 200 * MS, 600 * MS, 4_000 * MS, 1_200 * MS, 1, false, false);
    }

    private final CandidateChooser chooser = new CandidateChooser(() -> 0.5);

    private static Candidate candidate(Distance distance, int pendingRequests, long meanMillis) {
        OwnerLoad load = new OwnerLoad(pendingRequests, 0, 12, meanMillis * MS);
        return new Candidate(
                Optional.empty(), load, List.of(), pendingRequests, 0, 0, LinkLoad.NONE, distance, false, false);
    }

    private Distance chosenDistance(RequestProfile profile, Candidate... candidates) {
        return chooser.choose(List.of(candidates), profile)
                .orElseThrow()
                .candidate()
                .distance();
    }

    @Test
    void prefersOwnZoneOverFasterBackendServerInAnotherZone() {
        assertEquals(
                Distance.SELF,
                chosenDistance(
                        SMALL_RESPONSE, candidate(Distance.SELF, 11, 220), candidate(Distance.SAME_REGION, 0, 120)));
    }

    @Test
    void movesSmallResponsesToAnotherZoneAtAShorterWaitThanLargeOnes() {
        Candidate own = candidate(Distance.SAME_ZONE, 36, 200);
        Candidate other = candidate(Distance.SAME_REGION, 2, 200);
        assertEquals(Distance.SAME_REGION, chosenDistance(SMALL_RESPONSE, own, other));
        assertEquals(Distance.SAME_ZONE, chosenDistance(LARGE_RESPONSE, own, other));
    }

    @Test
    void movesLargeResponsesToAnotherZoneWhenOwnZoneWouldBeLate() {
        assertEquals(
                Distance.SAME_REGION,
                chosenDistance(
                        LARGE_RESPONSE,
                        candidate(Distance.SAME_ZONE, 80, 200),
                        candidate(Distance.SAME_REGION, 0, 200)));
    }

    /**
     * A nearby backend server that loses a considerable part of its requests is avoided; one that lost a single request
     * is not.
     */
    @Test
    void avoidsBackendServerWithHighLossRate() {
        Candidate other = candidate(Distance.SAME_REGION, 2, 200);
        assertEquals(
                Distance.SAME_REGION, chosenDistance(SMALL_RESPONSE, lossyCandidate(Distance.SAME_ZONE, 300), other));
        assertEquals(Distance.SAME_ZONE, chosenDistance(SMALL_RESPONSE, lossyCandidate(Distance.SAME_ZONE, 30), other));
        assertEquals(
                Distance.SAME_ZONE,
                chosenDistance(
                        SMALL_RESPONSE,
                        lossyCandidate(Distance.SAME_ZONE, 300),
                        lossyCandidate(Distance.SAME_REGION, 300)));
    }

    private static Candidate lossyCandidate(Distance distance, int perMille) {
        OwnerLoad load = new OwnerLoad(2, 0, 12, 200 * MS, perMille, 0, 0, 0, 0);
        return new Candidate(Optional.empty(), load, List.of(), 2, 0, 0, LinkLoad.NONE, distance, false, false);
    }

    /** Guards against large responses queueing at the link of one VM while another is idle, even in another zone. */
    @Test
    void movesLargeResponsesAwayFromABusyLink() {
        Candidate busy = candidateBehindLink(Distance.SAME_ZONE, 700 * MS);
        Candidate free = candidateBehindLink(Distance.SAME_REGION, 0);
        assertEquals(Distance.SAME_REGION, chosenDistance(LARGE_RESPONSE, busy, free));
        assertEquals(Distance.SAME_ZONE, chosenDistance(SMALL_RESPONSE, busy, free));
    }

    /** Responses that are transferred while the new one is still being produced do not delay it. */
    @Test
    void ignoresResponsesTransferredBeforeTheNewOneIsReady() {
        assertEquals(
                Distance.SAME_ZONE,
                chosenDistance(
                        LARGE_RESPONSE,
                        candidateBehindLink(Distance.SAME_ZONE, 150 * MS),
                        candidateBehindLink(Distance.SAME_REGION, 0)));
    }

    private static Candidate candidateBehindLink(Distance distance, long pendingResponsesNanos) {
        OwnerLoad load = new OwnerLoad(0, 0, 12, 200 * MS);
        LinkLoad link = new LinkLoad(0, pendingResponsesNanos, 7);
        return new Candidate(Optional.empty(), load, List.of(), 0, 0, 0, link, distance, false, false);
    }

    @Test
    void choosesSuspectOnlyWithoutAlternative() {
        Candidate suspect = new Candidate(
                Optional.empty(),
                new OwnerLoad(0, 0, 12, 100 * MS),
                List.of(),
                0,
                0,
                0,
                LinkLoad.NONE,
                Distance.SELF,
                false,
                true);
        assertEquals(
                Distance.SAME_REGION, chosenDistance(SMALL_RESPONSE, suspect, candidate(Distance.SAME_REGION, 5, 200)));
        assertEquals(Distance.SELF, chosenDistance(SMALL_RESPONSE, suspect));
    }

    @Test
    void limitsWaitToWhatTheNextBestNodeWouldCost() {
        CandidateChooser.Choice choice = chooser.choose(
                        List.of(candidate(Distance.SAME_ZONE, 0, 200), candidate(Distance.SAME_ZONE, 0, 200)),
                        SMALL_RESPONSE)
                .orElseThrow();
        assertTrue(choice.maxWaitNanos() < 50 * MS, "maximum wait in ns: " + choice.maxWaitNanos());
        CandidateChooser.Choice withOtherZone = chooser.choose(
                        List.of(candidate(Distance.SAME_ZONE, 0, 200), candidate(Distance.SAME_REGION, 0, 200)),
                        SMALL_RESPONSE)
                .orElseThrow();
        assertTrue(withOtherZone.maxWaitNanos() < 400 * MS, "maximum wait in ns: " + withOtherZone.maxWaitNanos());
        CandidateChooser.Choice single = chooser.choose(List.of(candidate(Distance.SAME_ZONE, 0, 200)), SMALL_RESPONSE)
                .orElseThrow();
        assertTrue(single.maxWaitNanos() > 300 * MS, "maximum wait in ns: " + single.maxWaitNanos());
        // With a longer wait this request would be late, and so would those queued behind it.
        assertTrue(single.maxWaitNanos() < 700 * MS, "maximum wait in ns: " + single.maxWaitNanos());
    }

    /** Median service time of a small response at a candidate, from its speed and whether it has just started. */
    private static long medianNanos(Candidate candidate, List<Candidate> all) {
        double averageMean = all.stream()
                .mapToLong(c -> c.load().meanNanos())
                .filter(mean -> mean > 0)
                .average()
                .orElse(0);
        long mean = candidate.load().meanNanos();
        double slowdown = mean == 0 || averageMean == 0 ? 1 : Math.min(4, mean / averageMean);
        return ServiceTimeDistribution.fromMean(
                        REQUEST_CLASS, 200 * MS * slowdown * (candidate.warmUpNanos() > 0 ? 2 : 1))
                .medianNanos();
    }

    @Property(tries = 200)
    void choosesANodeUnlessAllWouldBeLate(@ForAll @IntRange(min = 1, max = 40) int count, @ForAll long seed) {
        Random random = new Random(seed);
        CandidateChooser randomChooser = new CandidateChooser(random::nextDouble);
        List<Candidate> candidates = new java.util.ArrayList<>();
        for (int i = 0; i < count; i++) {
            Distance distance = Distance.values()[random.nextInt(4)];
            candidates.add(new Candidate(
                    Optional.empty(),
                    new OwnerLoad(random.nextInt(50), random.nextInt(50), random.nextInt(20), random.nextInt(1 << 30)),
                    List.of(),
                    random.nextInt(100),
                    random.nextInt(1 << 30),
                    random.nextInt(1 << 30),
                    LinkLoad.NONE,
                    distance,
                    random.nextBoolean(),
                    random.nextBoolean()));
        }
        if (randomChooser.choose(candidates, SMALL_RESPONSE).isEmpty()) {
            for (Candidate candidate : candidates) {
                long nanos = candidate.waitNanos() + medianNanos(candidate, candidates);
                assertTrue(nanos > 600 * MS, "refused, although a response is likely after " + nanos + " ns");
            }
        }
        assertFalse(randomChooser.choose(List.of(), SMALL_RESPONSE).isPresent());
    }
}
