package org.berylwick.internal.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.internal.limit.SlotLimiter.Admission;
import org.berylwick.internal.limit.SlotLimiter.Permit;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;

/** Properties of the slot limiter for any order of operations. */
class SlotLimiterPropertyTest {
    private static final int STEPS = 400;
    private static final TrafficClass[] CLASSES = TrafficClass.values();

    @Property(seed = "20261", tries = 150)
    void slotsAreCountedExactlyInAnyOrderOfOperations(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 16) int slots,
            @ForAll @IntRange(max = 20) int queueLimit) {
        // Requests arrive, end, are shed and are cancelled while time passes and limits change, in any order. There
        // must never be more slots in use than declared, and after all requests have ended no slot may be in use.
        Random random = new Random(seed);
        SlotLimiterFixture f = new SlotLimiterFixture(SlotLimits.ofAllClasses(slots, queueLimit));
        List<CompletableFuture<Admission>> pending = new ArrayList<>();
        List<Permit> held = new ArrayList<>();
        int declared = slots;
        for (int i = 0; i < STEPS; i++) {
            int before = f.limiter.inUse();
            switch (random.nextInt(8)) {
                case 0, 1, 2 ->
                    pending.add(f.acquire(CLASSES[random.nextInt(4)], Duration.ofMillis(random.nextInt(3_000))));
                case 3, 4 -> removeRandom(held, random).forEach(Permit::close);
                case 5 -> removeRandom(held, random).forEach(Permit::closeAfterShed);
                case 6 -> pickRandom(pending, random).forEach(a -> a.cancel(false));
                default -> {
                    if (random.nextInt(10) > 0) {
                        f.scheduler.advance(Duration.ofMillis(random.nextInt(300)));
                    } else {
                        declared = 1 + random.nextInt(16);
                        f.limiter.setLimits(SlotLimits.ofAllClasses(declared, random.nextInt(20)));
                    }
                }
            }
            pending.removeIf(a -> {
                SlotLimiterFixture.permit(a).ifPresent(held::add);
                return a.isDone();
            });
            assertEquals(held.size(), f.limiter.inUse());
            assertEquals(pending.size(), f.limiter.waiting());
            assertTrue(f.limiter.inUse() <= Math.max(before, declared));
            assertTrue(f.limiter.usableSlots() <= declared);
        }
        pending.forEach(a -> a.cancel(false));
        held.forEach(Permit::close);
        held.forEach(Permit::close);
        assertEquals(0, f.limiter.inUse());
        assertEquals(0, f.limiter.waiting());
        assertEquals(0, f.slotsExactBreaches());
    }

    @Property(seed = "20262", tries = 60)
    void classBelowGuaranteeWaitsAtMostForOneBorrowedSlot(@ForAll long seed) {
        // Every class requests far more than its share. Bulk requests take minutes, all others at most 100 ms. A
        // request that waits while its class is below its guarantee gets a slot as soon as a borrowed one is returned,
        // which takes at most 100 ms.
        Random random = new Random(seed);
        SlotLimiterFixture f = new SlotLimiterFixture(SlotLimits.ofAllClasses(12, 48));
        List<Running> running = new ArrayList<>();
        Map<TrafficClass, List<CompletableFuture<Admission>>> waiting = new EnumMap<>(TrafficClass.class);
        Map<TrafficClass, Duration> timeBelowGuarantee = new EnumMap<>(TrafficClass.class);
        Duration step = Duration.ofMillis(1);
        for (int i = 0; i < 3_000; i++) {
            boolean allClasses = i / 300 % 2 == 0;
            TrafficClass c = CLASSES[allClasses ? random.nextInt(4) : i / 600 % 4];
            if (random.nextInt(3) > 0) {
                waiting.computeIfAbsent(c, x -> new ArrayList<>()).add(f.acquire(c, Duration.ofHours(1)));
            }
            f.scheduler.advance(step);
            long nowNanos = f.time.nanoTime();
            List<Running> finished =
                    running.stream().filter(r -> r.endsAtNanos <= nowNanos).toList();
            running.removeAll(finished);
            finished.forEach(r -> r.permit.close());
            waiting.forEach((k, list) -> list.removeIf(a -> {
                SlotLimiterFixture.permit(a)
                        .ifPresent(p -> running.add(new Running(p, nowNanos + holdNanos(k, random))));
                return a.isDone();
            }));
            for (TrafficClass k : CLASSES) {
                boolean belowGuarantee =
                        !waiting.getOrDefault(k, List.of()).isEmpty() && f.limiter.inUse(k) < f.limiter.guarantee(k);
                timeBelowGuarantee.merge(k, step, (a, b) -> belowGuarantee ? a.plus(b) : Duration.ZERO);
                assertTrue(
                        timeBelowGuarantee.get(k).toMillis() <= 102,
                        () -> k + " waited below its guarantee for " + timeBelowGuarantee.get(k));
            }
        }
    }

    @Property(seed = "20263", tries = 60)
    void noSlotStaysIdleWhileEligibleRequestWaits(@ForAll long seed) {
        Random random = new Random(seed);
        SlotLimiterFixture f = new SlotLimiterFixture(SlotLimits.ofAllClasses(12, 48));
        List<CompletableFuture<Admission>> pending = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(5) < 3) {
                pending.add(f.acquire(CLASSES[random.nextInt(3)], Duration.ofSeconds(5)));
            } else {
                List<Permit> held = pending.stream()
                        .flatMap(a -> SlotLimiterFixture.permit(a).stream())
                        .toList();
                pickRandom(held, random).forEach(Permit::close);
            }
            f.scheduler.advance(Duration.ofMillis(random.nextInt(20)));
            boolean slotIsFree = f.limiter.inUse() < 12;
            assertTrue(!slotIsFree || f.limiter.waiting() == 0);
        }
    }

    @Property(seed = "20264", tries = 300)
    void sharesFitCapacityAndGiveEveryClassOneIfPossible(
            @ForAll @IntRange(min = 1, max = 200) int capacity, @ForAll @IntRange(min = 1, max = 15) int classMask) {
        List<TrafficClass> classes = Stream.of(CLASSES)
                .filter(c -> (classMask >> c.ordinal() & 1) == 1)
                .toList();
        TrafficClassShares shares = TrafficClassShares.divide(capacity, Set.copyOf(classes));
        assertTrue(shares.total() <= capacity);
        long classesWithoutShare =
                classes.stream().filter(c -> shares.guarantee(c) == 0).count();
        assertEquals(Math.max(0, classes.size() - capacity), classesWithoutShare);
    }

    @Example
    void slotsAreCountedExactlyUnderConcurrentUse() throws Exception {
        SlotLimiterFixture f = new SlotLimiterFixture(SlotLimits.ofAllClasses(5, 8));
        try (ExecutorService threads = Executors.newFixedThreadPool(6)) {
            List<Future<?>> done = new ArrayList<>();
            for (int t = 0; t < 6; t++) {
                done.add(threads.submit(() -> acquireAndReleaseRepeatedly(f)));
            }
            for (Future<?> d : done) {
                d.get();
            }
        }
        assertEquals(0, f.limiter.inUse());
        assertEquals(0, f.limiter.waiting());
        assertEquals(0, f.slotsExactBreaches());
    }

    private static void acquireAndReleaseRepeatedly(SlotLimiterFixture f) {
        for (int i = 0; i < 5_000; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            CompletableFuture<Admission> pending =
                    f.limiter.acquire(CLASSES[random.nextInt(4)], Deadline.after(f.time, Duration.ofSeconds(1)));
            if (random.nextBoolean() && pending.cancel(false)) {
                continue;
            }
            pending.thenAccept(a -> {
                if (a instanceof Admission.Admitted(Permit permit)) {
                    permit.close();
                }
            });
        }
    }

    private record Running(Permit permit, long endsAtNanos) {}

    private static long holdNanos(TrafficClass c, Random random) {
        return c == TrafficClass.BULK
                ? Duration.ofMinutes(5).toNanos()
                : Duration.ofMillis(1 + random.nextInt(100)).toNanos();
    }

    private static List<Permit> removeRandom(List<Permit> from, Random random) {
        List<Permit> picked = pickRandom(from, random);
        from.removeAll(picked);
        return picked;
    }

    private static <T> List<T> pickRandom(List<T> from, Random random) {
        if (from.isEmpty()) {
            return List.of();
        }
        int i = random.nextInt(from.size());
        return List.of(from.get(i));
    }
}
