package org.berylwick.node.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the bucket, the permits of an entry node, the choice of the quota server and the encoding. */
class QuotaDecisionsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;

    /** Guards against a burst that is granted by a process that has just started. */
    @Test
    void bucketStartsEmptyAndHoldsNoMoreThanBurst() {
        QuotaBucket bucket = new QuotaBucket(10, 20, SECOND);
        assertEquals(0, bucket.take(5, SECOND));
        assertEquals(10, bucket.take(50, 2 * SECOND));
        assertEquals(20, bucket.take(50, 100 * SECOND));
    }

    /** Guards against a fuller bucket after the limit was lowered, and against a new burst after it was raised. */
    @Test
    void bucketKeepsLevelWhenLimitChanges() {
        QuotaBucket bucket = new QuotaBucket(10, 20, 0);
        bucket.setLimit(5, 10, 100 * SECOND);
        assertEquals(10, bucket.take(50, 100 * SECOND));
        bucket.setLimit(100, 100, 100 * SECOND);
        assertEquals(0, bucket.take(50, 100 * SECOND));
        bucket.putBack(500, 100 * SECOND);
        assertEquals(100, bucket.take(500, 100 * SECOND));
    }

    /** Guards against permits being used longer than the quota server accounts for. */
    @Test
    void permitExpiresOneSecondAfterQuestion() {
        PermitPool pool = new PermitPool(0);
        pool.onGranted(3, 0);
        assertTrue(pool.take(PermitPool.VALID_NANOS - 1));
        assertFalse(pool.take(PermitPool.VALID_NANOS));
        assertEquals(2, pool.drainExpired());
        assertFalse(pool.takeBack(PermitPool.VALID_NANOS, PermitPool.VALID_NANOS));
    }

    /** Guards against a question for each request of an organisation that has used up its limit. */
    @Test
    void refusesByItselfUntilHoldEndsWithLaterTimeForEach() {
        PermitPool pool = new PermitPool(0);
        pool.onUsedUp(50 * MILLI, 60 * MILLI, 10 * MILLI, 0);
        assertEquals(PermitPool.Decision.REFUSED, pool.onRequest(49 * MILLI));
        assertEquals(11 * MILLI, pool.nextRetryNanos(49 * MILLI));
        assertEquals(21 * MILLI, pool.nextRetryNanos(49 * MILLI));
        assertEquals(PermitPool.Decision.NEEDS_ANSWER, pool.onRequest(50 * MILLI));
    }

    /** Guards against permits in store on many nodes that each receive a request now and then. */
    @Test
    void takesNoPermitsInStoreForRareRequests() {
        PermitPool pool = new PermitPool(0);
        assertEquals(PermitPool.Decision.NEEDS_ANSWER, pool.onRequest(SECOND));
        assertEquals(1, pool.wanted(1, SECOND));
        assertFalse(pool.shouldAskAhead(SECOND));
        for (int i = 0; i < 20; i++) {
            pool.onRequest(SECOND + i * MILLI);
        }
        assertEquals(21, pool.wanted(1, SECOND + 20 * MILLI));
        assertTrue(pool.shouldAskAhead(SECOND + 20 * MILLI));
    }

    /** Guards against the loss of one node moving organisations between the others, and against an uneven choice. */
    @Test
    void lossOfNodeMovesOnlyItsOrganisations() {
        List<String> nodes = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6");
        List<String> remaining = nodes.subList(1, 6);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 6_000; i++) {
            String organisation = "organisation-" + i;
            String first = RendezvousOrder.first(organisation, nodes).orElseThrow();
            counts.merge(first, 1, Integer::sum);
            if (!first.equals(nodes.get(0))) {
                assertEquals(Optional.of(first), RendezvousOrder.first(organisation, remaining));
            }
        }
        assertTrue(counts.values().stream().allMatch(n -> n > 850 && n < 1_150), counts.toString());
    }

    /** Guards against a second quota server while the lease of the first one lasts, whatever beats get lost. */
    @Property(tries = 300)
    void noTwoQuotaServersAtATime(@ForAll @Size(200) List<Boolean> cuts) {
        List<String> readers = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5");
        List<QuotaElection> elections = new ArrayList<>();
        readers.forEach(reader -> elections.add(new QuotaElection(reader, 0)));
        for (int step = 0; step < cuts.size(); step++) {
            long now = step * QuotaElection.BEAT_NANOS;
            // The first two readers are cut off from the others for some time, again and again.
            boolean cut = cuts.get(step / 20 * 20);
            for (int i = 0; i < readers.size(); i++) {
                elections.get(i).update(readers, now);
                QuotaMessage.Beat beat = elections.get(i).beat(now);
                for (int j = 0; j < readers.size(); j++) {
                    if (i != j && !(cut && i < 2 != j < 2)) {
                        elections.get(j).onBeat(readers.get(i), beat, now);
                    }
                }
            }
            int granting = 0;
            for (int i = 0; i < readers.size(); i++) {
                boolean fills = now >= elections.get(i).bucketsFillFrom();
                granting += fills && elections.get(i).isServer("acme", now) ? 1 : 0;
            }
            assertTrue(granting <= 1, "step " + step + ": " + granting);
        }
    }

    /** Guards against messages that are read otherwise than they were written. */
    @Test
    void messagesSurviveEncoding() {
        List<QuotaMessage> messages = List.of(
                new QuotaMessage.Ask(5, 1L << 40, "Société №1", 3, 4),
                new QuotaMessage.Answer(7, "acme", 2, 3, 4, 5),
                new QuotaMessage.NotServer(8, "acme", "10.0.0.1"),
                new QuotaMessage.Return(5, 9, "acme", 4),
                new QuotaMessage.Beat(-6, Map.of("10.0.0.1", 5L, "10.0.0.2", -7L)));
        for (QuotaMessage message : messages) {
            ByteBuf bytes = Unpooled.buffer();
            QuotaCodec.encode(message, bytes);
            assertEquals(QuotaCodec.MAGIC, bytes.readInt());
            assertEquals(Optional.of(message), QuotaCodec.decode(bytes));
        }
    }

    /** Guards against an exception on the event loop caused by a damaged or foreign datagram. */
    @Property
    void damagedDatagramsAreIgnored(@ForAll byte[] bytes) {
        QuotaCodec.decode(Unpooled.wrappedBuffer(bytes));
    }
}
