package org.berylwick.internal.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.errors.ClaimError;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.testing.ManualTimeSource;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;
import org.junit.jupiter.api.Test;

/** Tests which request may run under a key, with concurrent claimants, store faults and pauses. */
class KeyClaimStoreTest {
    private static final KeyId KEY = KeyId.of("kapitolyo", "placements", "order-17");
    private static final Digest FINGERPRINT = Digest.of("POST /placements".getBytes(StandardCharsets.UTF_8));
    private static final StoredResponse RESPONSE = new StoredResponse(
            201, List.of(new StoredResponse.Header("location", "/placements/9")), new byte[] {1, 2, 3});
    private static final int CLAIMANTS = 3;
    private static final int REQUESTS_PER_CLAIMANT = 2;
    private static final int SETTLE_ATTEMPTS = 200;

    private final ManualTimeSource time = new ManualTimeSource();
    private final Deadline distantDeadline = Deadline.after(time, Duration.ofDays(30));

    private KeyRequest request() {
        return new KeyRequest(KEY, FINGERPRINT, time.epochMillis() + 1_000);
    }

    /** What a claimant does after its claim was granted. */
    private enum ClaimantBehavior {
        ANSWERED,
        NOT_RUN,
        UNKNOWN,
        CRASHED_BEFORE_SENDING,
        CRASHED_AFTER_SENDING
    }

    /** Counts over all requests of one try of the property. */
    private static final class Counts {
        private final AtomicInteger runs = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();
        private final AtomicInteger unreleasedClaims = new AtomicInteger();
    }

    private void runClaimant(KeyClaimStore claimStore, Random behaviors, Counts counts) {
        for (int i = 0; i < REQUESTS_PER_CLAIMANT; i++) {
            switch (claimStore.claim(request(), distantDeadline)) {
                case ClaimOutcome.Granted(KeyClaim claim) -> {
                    if (!runRequest(
                            claimStore,
                            claim,
                            ClaimantBehavior.values()[behaviors.nextInt(ClaimantBehavior.values().length)],
                            counts)) {
                        return;
                    }
                }
                case ClaimOutcome.Taken(KeyRecord existing) -> {
                    if (existing.run() instanceof KeyState.Answered(StoredResponse response)) {
                        assertEquals(RESPONSE, response);
                    }
                }
                case ClaimOutcome.Refused(var ignored, Optional<KeyClaim> claimToRelease) ->
                    claimToRelease.ifPresent(claim -> settle(claimStore, claim, new Settlement.Release()));
            }
        }
    }

    /** Handles a granted claim as {@code behavior} says; returns false if the claimant crashed. */
    private boolean runRequest(KeyClaimStore claimStore, KeyClaim claim, ClaimantBehavior behavior, Counts counts) {
        if (behavior != ClaimantBehavior.NOT_RUN) {
            counts.unreleasedClaims.incrementAndGet();
        }
        if (behavior != ClaimantBehavior.NOT_RUN && behavior != ClaimantBehavior.CRASHED_BEFORE_SENDING) {
            counts.runs.incrementAndGet();
        }
        switch (behavior) {
            case ANSWERED -> {
                settle(claimStore, claim, new Settlement.Keep(new KeyState.Answered(RESPONSE)));
                counts.answered.incrementAndGet();
            }
            case UNKNOWN -> settle(claimStore, claim, new Settlement.Keep(new KeyState.Unknown()));
            case NOT_RUN -> settle(claimStore, claim, new Settlement.Release());
            case CRASHED_BEFORE_SENDING, CRASHED_AFTER_SENDING -> {
                return false;
            }
            default -> throw new IllegalStateException(behavior.toString());
        }
        return true;
    }

    private void settle(KeyClaimStore claimStore, KeyClaim claim, Settlement settlement) {
        for (int i = 0; i < SETTLE_ATTEMPTS; i++) {
            switch (claimStore.settle(claim, settlement, distantDeadline)) {
                case SettleOutcome.Settled() -> {
                    return;
                }
                case SettleOutcome.ClaimLost() -> throw new AssertionError("claim disappeared from the store");
                case SettleOutcome.RetryNeeded ignored -> {}
            }
        }
        throw new AssertionError("claim not settled by any attempt");
    }

    /**
     * Three daemons receive the same request twice each, and their store calls are interleaved at random. Calls fail,
     * responses are lost, writes take effect long after their claimant stopped waiting for them, and claimants pause
     * for minutes or crash. Guards against two failures: two requests run, so that a caller is charged twice; or a key
     * remains claimed although no claimant ran the request, so that a caller cannot place its order.
     */
    @Property(seed = "4711", tries = 1500)
    void atMostOneRequestRunsAndUnusedKeyIsFree(@ForAll long seed) {
        Random random = new Random(seed);
        InterleavedStore interleaved = new InterleavedStore(random, time);
        Counts counts = new Counts();
        List<AssertionError> failures = new ArrayList<>();
        List<Runnable> claimants = new ArrayList<>();
        for (int i = 0; i < CLAIMANTS; i++) {
            KeyClaimStore claimStore = new KeyClaimStore(interleaved.store(), "daemon-" + i, time);
            Random behaviors = new Random(random.nextLong());
            claimants.add(() -> {
                try {
                    runClaimant(claimStore, behaviors, counts);
                } catch (AssertionError e) {
                    failures.add(e);
                }
            });
        }
        interleaved.run(claimants, () -> time.advance(Duration.ofMinutes(2)));
        assertEquals(List.of(), failures);
        assertTrue(
                counts.unreleasedClaims.get() <= 1,
                "granted claims that were not released: " + counts.unreleasedClaims);
        assertTrue(counts.runs.get() <= 1, "request runs: " + counts.runs);
        ClaimOutcome finalOutcome =
                new KeyClaimStore(interleaved.store(), "last", time).claim(request(), distantDeadline);
        if (counts.unreleasedClaims.get() == 0) {
            assertInstanceOf(ClaimOutcome.Granted.class, finalOutcome);
            return;
        }
        KeyState state = assertInstanceOf(ClaimOutcome.Taken.class, finalOutcome)
                .existing()
                .run();
        if (counts.answered.get() == 1) {
            assertEquals(new KeyState.Answered(RESPONSE), state);
        }
    }

    @Test
    void keyIsFreeAndItsRecordRemovedAfterRetention() {
        MemoryStore store = new MemoryStore(time);
        KeyClaimStore claimStore = new KeyClaimStore(store, "daemon", time);
        assertInstanceOf(ClaimOutcome.Granted.class, claimStore.claim(request(), distantDeadline));
        time.advance(Duration.ofMillis(KeySlot.RETENTION_MILLIS));
        assertInstanceOf(ClaimOutcome.Taken.class, claimStore.claim(request(), distantDeadline));
        time.advance(Duration.ofMillis(1));
        assertInstanceOf(ClaimOutcome.Granted.class, claimStore.claim(request(), distantDeadline));
        assertEquals(1, readSlot(store).records().size());
    }

    private KeySlot readSlot(MemoryStore store) {
        return okValue(KeySlot.decode(okValue(store.get(KEY.slotObjectKey(), distantDeadline))
                .orElseThrow()
                .value()));
    }

    private static <T, E> T okValue(Result<T, E> result) {
        return switch (result) {
            case Result.Ok<T, E>(T value) -> value;
            case Result.Err<T, E>(E error) -> throw new AssertionError(error);
        };
    }

    @Test
    void oversizedSlotDropsOldestResponsesButKeepsRanState() {
        KeySlot slot = KeySlot.EMPTY;
        for (int i = 0; i < 3; i++) {
            StoredResponse response = new StoredResponse(200 + i, List.of(), new byte[1_000]);
            KeyRecord record = new KeyRecord("k" + i, "f", "c" + i, "d", i, new KeyState.Answered(response));
            slot = slot.withRecord(record, i);
        }
        KeySlot reencoded = okValue(KeySlot.decode(slot.encode(3_400).orElseThrow()));
        assertEquals(new KeyState.Ran(200), reencoded.records().get(0).run());
        assertEquals(slot.records().subList(1, 3), reencoded.records().subList(1, 3));
        assertEquals(Optional.empty(), slot.encode(100));
    }

    /**
     * The write of a claim is delayed in transit until the claimant stops waiting, and the caller is correctly told
     * that its request was not run. The claim is released, and only then does the delayed write arrive. If the store
     * accepted it, the key would remain claimed for a day although the request never ran.
     */
    @Test
    void claimWriteArrivingAfterReleaseIsRejected() {
        List<StoreCall> delayedWrites = new ArrayList<>();
        AtomicInteger remainingFailures = new AtomicInteger(2);
        MemoryStore store = new MemoryStore(time, new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                if (remainingFailures.get() == 0 || (remainingFailures.get() == 2 && !call.isWrite())) {
                    return Optional.empty();
                }
                if (remainingFailures.getAndDecrement() == 2) {
                    delayedWrites.add(call);
                    return Optional.of(new StoreError.OutcomeUnknown("write delayed"));
                }
                return Optional.of(new StoreError.Unavailable("store unavailable"));
            }
        });
        KeyClaimStore claimStore = new KeyClaimStore(store, "daemon", time);
        ClaimOutcome.Refused refused =
                assertInstanceOf(ClaimOutcome.Refused.class, claimStore.claim(request(), distantDeadline));
        KeyClaim claimToRelease = refused.claimToRelease().orElseThrow();
        assertEquals(
                new SettleOutcome.Settled(),
                claimStore.settle(claimToRelease, new Settlement.Release(), distantDeadline));
        StoreCall.Write delayedWrite = delayedWrites.getFirst().write().orElseThrow();
        assertInstanceOf(
                Result.Err.class,
                store.put(KEY.slotObjectKey(), delayedWrite.value(), delayedWrite.precondition(), distantDeadline));
        assertInstanceOf(ClaimOutcome.Granted.class, claimStore.claim(request(), distantDeadline));
    }

    @Test
    void unreadableSlotRefusesClaimAndIsNotOverwritten() {
        MemoryStore store = new MemoryStore(time);
        byte[] damaged = {'?'};
        store.put(KEY.slotObjectKey(), damaged, new Precondition.None(), distantDeadline);
        ClaimOutcome.Refused refused = assertInstanceOf(
                ClaimOutcome.Refused.class, new KeyClaimStore(store, "daemon", time).claim(request(), distantDeadline));
        assertInstanceOf(ClaimError.Unreadable.class, refused.error());
        assertEquals(
                1,
                okValue(store.get(KEY.slotObjectKey(), distantDeadline))
                        .orElseThrow()
                        .value()
                        .length);
    }
}
