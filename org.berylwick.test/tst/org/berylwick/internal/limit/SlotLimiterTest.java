package org.berylwick.internal.limit;

import static org.berylwick.internal.limit.SlotLimiterFixture.isRefused;
import static org.berylwick.internal.limit.SlotLimiterFixture.permit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.internal.limit.SlotLimiter.Permit;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TrafficClass;
import org.junit.jupiter.api.Test;

/** Tests shares, early refusal, cancellation and the reaction to a backend server that sheds requests. */
class SlotLimiterTest {
    private static final Duration SHORT_HOLD = Duration.ofMillis(20);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LONG_TIMEOUT = Duration.ofMinutes(20);
    private static final int SLOTS = 12;
    private static final int QUEUE_LIMIT = 48;

    private final SlotLimiterFixture f = new SlotLimiterFixture(SlotLimits.ofAllClasses(SLOTS, QUEUE_LIMIT));

    @Test
    void lookupsDoNotStarveReads() {
        // A batch job sends lookups continuously and takes every idle slot. Reads that arrive later must get slots as
        // soon as these lookups end, although more lookups are waiting.
        List<Permit> lookups = acquireMany(TrafficClass.LOOKUP, SLOTS);
        List<CompletableFuture<Admission>> moreLookups = enqueueMany(TrafficClass.LOOKUP, 20);
        List<CompletableFuture<Admission>> reads = enqueueMany(TrafficClass.READ, 4);
        f.scheduler.advance(SHORT_HOLD);
        lookups.forEach(Permit::close);
        assertTrue(reads.stream().allMatch(r -> permit(r).isPresent()));
        assertTrue(moreLookups.stream().anyMatch(m -> permit(m).isPresent()));
    }

    @Test
    void readsDoNotStarveLookups() {
        // Reads take all slots and more reads wait. A lookup must still get the next free slot, before reads that
        // arrived earlier and are more urgent, because lookups are below their guarantee.
        List<Permit> reads = acquireMany(TrafficClass.READ, SLOTS);
        enqueueMany(TrafficClass.READ, 20);
        CompletableFuture<Admission> lookup = f.acquire(TrafficClass.LOOKUP, TIMEOUT);
        f.scheduler.advance(SHORT_HOLD);
        reads.getFirst().close();
        assertTrue(permit(lookup).isPresent());
    }

    @Test
    void bulkRequestsDoNotBorrowSlots() {
        // A dozen bulk transfers arrive while the backend server is idle. Each takes minutes, so a slot lent to one is
        // not returned in time. Confirmations that arrive shortly after must find their guaranteed slots free.
        List<CompletableFuture<Admission>> bulk = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            bulk.add(f.acquire(TrafficClass.BULK, LONG_TIMEOUT));
        }
        assertEquals(2, f.limiter.inUse(TrafficClass.BULK));
        for (int i = 0; i < 4; i++) {
            assertTrue(permit(f.acquire(TrafficClass.CONFIRMATION, TIMEOUT)).isPresent());
        }
        assertEquals(2, bulk.stream().filter(b -> permit(b).isPresent()).count());
    }

    @Test
    void serviceWithOnlyBulkRequestsUsesAllSlotsForThem() {
        SlotLimiterFixture bulkOnly =
                new SlotLimiterFixture(new SlotLimits(SLOTS, QUEUE_LIMIT, Set.of(TrafficClass.BULK)));
        for (int i = 0; i < SLOTS; i++) {
            bulkOnly.acquireNow(TrafficClass.BULK, LONG_TIMEOUT);
        }
        assertEquals(SLOTS, bulkOnly.limiter.inUse());
    }

    @Test
    void classWithLongHoldTimeDoesNotBorrow() {
        Permit slow = f.acquireNow(TrafficClass.READ, LONG_TIMEOUT);
        f.scheduler.advance(Duration.ofSeconds(5));
        slow.close();
        enqueueMany(TrafficClass.READ, SLOTS);
        assertEquals(f.limiter.guarantee(TrafficClass.READ), f.limiter.inUse(TrafficClass.READ));
    }

    @Test
    void waitingRequestIsRefusedAtDeadlineWithoutReleasedSlot() {
        // All slots are in use and none is released. A waiting request must be refused when its deadline passes, not
        // only when the next slot is released.
        acquireMany(TrafficClass.READ, SLOTS);
        CompletableFuture<Admission> waiting = f.acquire(TrafficClass.READ, TIMEOUT);
        f.scheduler.advance(TIMEOUT.minusMillis(1));
        assertFalse(waiting.isDone());
        f.scheduler.advance(Duration.ofMillis(1));
        assertTrue(isRefused(waiting));
        assertEquals(RefusalReason.DEADLINE, ((Admission.Refused) waiting.join()).reason());
        assertEquals(0, f.limiter.waiting());
    }

    @Test
    void requestThatCannotStartInTimeIsRefusedOnArrival() {
        // Requests take 400 ms each, all slots are in use and 24 requests wait, so a new request would get a slot
        // after about one second. A request with 30 ms left is refused at once with a retry delay; one with a long
        // deadline waits.
        List<Permit> earlierReads = acquireMany(TrafficClass.READ, SLOTS);
        f.scheduler.advance(Duration.ofMillis(400));
        earlierReads.forEach(Permit::close);
        acquireMany(TrafficClass.READ, SLOTS);
        enqueueMany(TrafficClass.READ, 24);
        CompletableFuture<Admission> longDeadline = f.acquire(TrafficClass.READ, Duration.ofMinutes(1));
        CompletableFuture<Admission> shortDeadline = f.acquire(TrafficClass.READ, Duration.ofMillis(30));
        assertFalse(longDeadline.isDone());
        assertTrue(isRefused(shortDeadline));
        Admission.Refused refusal = (Admission.Refused) shortDeadline.join();
        assertEquals(RefusalReason.OVERLOADED, refusal.reason());
        assertTrue(refusal.retryAfterMillis() > 0);
    }

    @Test
    void cancelledRequestLeavesQueueAtOnce() {
        acquireMany(TrafficClass.READ, SLOTS);
        List<CompletableFuture<Admission>> waiting = enqueueMany(TrafficClass.READ, QUEUE_LIMIT);
        assertTrue(isRefused(f.acquire(TrafficClass.READ, TIMEOUT)));
        waiting.get(7).cancel(false);
        assertEquals(QUEUE_LIMIT - 1, f.limiter.waiting());
        assertFalse(f.acquire(TrafficClass.READ, TIMEOUT).isDone());
    }

    @Test
    void slotGrantedToCancelledRequestIsReleased() {
        // One change of limits grants slots to both waiting requests. The continuation of the first cancels the second
        // before its future completes. Nobody would ever close the permit of the second, so the limiter must release
        // it.
        Permit held = f.acquireNow(TrafficClass.READ, TIMEOUT);
        SlotLimits oneSlot = SlotLimits.ofAllClasses(1, QUEUE_LIMIT);
        f.limiter.setLimits(oneSlot);
        CompletableFuture<Admission> first = f.acquire(TrafficClass.READ, TIMEOUT);
        CompletableFuture<Admission> second = f.acquire(TrafficClass.READ, TIMEOUT.plusSeconds(1));
        first.thenAccept(a -> second.cancel(false));
        f.limiter.setLimits(SlotLimits.ofAllClasses(3, QUEUE_LIMIT));
        assertTrue(second.isCancelled());
        permit(first).orElseThrow().close();
        held.close();
        assertEquals(0, f.limiter.inUse());
    }

    @Test
    void fullQueueEvictsBorrowerForClassBelowGuarantee() {
        acquireMany(TrafficClass.LOOKUP, SLOTS);
        List<CompletableFuture<Admission>> lookups = enqueueMany(TrafficClass.LOOKUP, QUEUE_LIMIT);
        CompletableFuture<Admission> confirmation = f.acquire(TrafficClass.CONFIRMATION, TIMEOUT);
        assertFalse(confirmation.isDone());
        assertEquals(1, lookups.stream().filter(SlotLimiterFixture::isRefused).count());
        assertEquals(QUEUE_LIMIT, f.limiter.waiting());
    }

    @Test
    void shedLowersUsableSlotsTemporarily() {
        // A cold backend server sheds requests although declared slots are free. The usable slots are lowered at once,
        // only once per burst, and all are restored with time, even if no new request triggers it.
        List<Permit> reads = acquireMany(TrafficClass.READ, SLOTS);
        reads.get(0).closeAfterShed();
        reads.get(1).closeAfterShed();
        assertEquals(8, f.limiter.usableSlots());
        CompletableFuture<Admission> waiting = f.acquire(TrafficClass.READ, Duration.ofSeconds(30));
        assertFalse(waiting.isDone());
        f.scheduler.advance(Duration.ofMillis(750));
        assertTrue(permit(waiting).isPresent());
        f.scheduler.advance(Duration.ofMinutes(1));
        f.acquire(TrafficClass.READ, TIMEOUT);
        assertEquals(SLOTS, f.limiter.usableSlots());
    }

    @Test
    void usableSlotsNeverFallBelowMinimum() {
        for (int i = 0; i < 50; i++) {
            f.acquireNow(TrafficClass.READ, TIMEOUT).closeAfterShed();
            f.scheduler.advance(UsableSlots.MIN_LOWER_INTERVAL);
        }
        assertEquals(3, f.limiter.usableSlots());
    }

    private List<Permit> acquireMany(TrafficClass trafficClass, int count) {
        List<Permit> permits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            permits.add(f.acquireNow(trafficClass, TIMEOUT));
        }
        return permits;
    }

    private List<CompletableFuture<Admission>> enqueueMany(TrafficClass trafficClass, int count) {
        List<CompletableFuture<Admission>> pending = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pending.add(f.acquire(trafficClass, TIMEOUT));
        }
        return pending;
    }
}
