package org.berylwick.internal.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.errors.ClaimError;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the behavior of {@link KeyDuty} while the store is slow or unavailable, or loses a claim. */
class KeyDutyTest {
    private static final TimeSource TIME = TimeSource.SYSTEM;
    private static final Digest FINGERPRINT = Digest.of(new byte[0]);

    private final AtomicReference<StoreInterceptor> interceptor = new AtomicReference<>(StoreInterceptor.NONE);
    private final MetricRegistry metrics = new MetricRegistry();
    private final Invariants invariants = new Invariants(metrics);
    private final MemoryStore store = new MemoryStore(TIME, new StoreInterceptor() {
        @Override
        public Optional<StoreError> before(StoreCall call) {
            return interceptor.get().before(call);
        }
    });
    private final KeyDuty duty = new KeyDuty(store, "daemon", invariants, metrics, TIME);

    @BeforeEach
    void start() {
        duty.start();
    }

    @AfterEach
    void close() {
        interceptor.set(StoreInterceptor.NONE);
        duty.close();
    }

    private CompletableFuture<ClaimOutcome> claim(String key) {
        KeyRequest request = new KeyRequest(KeyId.of("brand", "route", key), FINGERPRINT, TIME.epochMillis() + 60_000);
        return duty.claim(request, Deadline.afterMillis(TIME, 60_000));
    }

    private static StoreInterceptor unavailableStore(AtomicInteger callCount) {
        return new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                callCount.incrementAndGet();
                return Optional.of(new StoreError.Unavailable("store unavailable"));
            }
        };
    }

    /**
     * The store blocks, and more requests with keys arrive than claims may be outstanding. Those over the limit are
     * refused immediately as not run instead of waiting, and the settlements of the outstanding claims are not refused.
     */
    @Test
    void claimsOverTheLimitAreRefusedImmediately() {
        CountDownLatch storeUnblocked = new CountDownLatch(1);
        interceptor.set(new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                try {
                    storeUnblocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return Optional.empty();
            }
        });
        List<CompletableFuture<ClaimOutcome>> admitted = new ArrayList<>();
        for (int i = 0; i < KeyDuty.MAX_OUTSTANDING_CLAIMS; i++) {
            admitted.add(claim("key-" + i));
        }
        ClaimOutcome excessOutcome = claim("one-more").getNow(null);
        assertEquals(new ClaimOutcome.Refused(new ClaimError.TooManyClaims(), Optional.empty()), excessOutcome);
        storeUnblocked.countDown();
        for (CompletableFuture<ClaimOutcome> outcome : admitted) {
            if (outcome.join() instanceof ClaimOutcome.Granted(KeyClaim claim)) {
                duty.settle(claim, new Settlement.Keep(new KeyState.Unknown()));
            }
        }
        LocalFleet.await("every claim is settled", () -> duty.outstandingClaims() == 0);
        assertEquals(0, metrics.counter(KeyMetrics.NOT_SETTLED).getCount());
    }

    /**
     * The request has run, and the store becomes unavailable before the outcome is recorded. The settlement is retried
     * until the store recovers; a repetition of the request then receives the stored response.
     */
    @Test
    void outcomeIsRecordedAfterTheStoreRecovers() {
        KeyClaim claim = assertInstanceOf(
                        ClaimOutcome.Granted.class, claim("later").join())
                .claim();
        AtomicInteger refusedCalls = new AtomicInteger();
        interceptor.set(unavailableStore(refusedCalls));
        KeyState answered = new KeyState.Answered(new StoredResponse(200, List.of(), new byte[] {7}));
        duty.settle(claim, new Settlement.Keep(answered));
        LocalFleet.await("the settlement is retried", () -> refusedCalls.get() >= 2);
        interceptor.set(StoreInterceptor.NONE);
        LocalFleet.await("every claim is settled", () -> duty.outstandingClaims() == 0);
        ClaimOutcome.Taken taken =
                assertInstanceOf(ClaimOutcome.Taken.class, claim("later").join());
        assertEquals(answered, taken.existing().run());
        assertEquals(1, invariants.checks(Invariant.AT_MOST_ONCE));
        assertEquals(0, invariants.breaches(Invariant.AT_MOST_ONCE));
    }

    /**
     * The slot object is deleted while the request runs. The key is then free, and a second request could run under it;
     * the daemon whose claim is missing reports an invariant breach.
     */
    @Test
    void lostClaimIsAnInvariantBreach() {
        KeyClaim claim = assertInstanceOf(
                        ClaimOutcome.Granted.class, claim("gone").join())
                .claim();
        ObjectKey slot = claim.key().slotObjectKey();
        store.delete(slot, new Precondition.None(), Deadline.afterMillis(TIME, 1_000));
        duty.settle(claim, new Settlement.Keep(new KeyState.Unknown()));
        LocalFleet.await("every claim is settled", () -> duty.outstandingClaims() == 0);
        assertEquals(1, invariants.breaches(Invariant.AT_MOST_ONCE));
    }

    /**
     * An exception in the store client must neither leave the caller waiting nor leave its claim counted as
     * outstanding.
     */
    @Test
    void exceptionInStoreClientRefusesTheClaim() {
        interceptor.set(new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                throw new IllegalStateException("closed");
            }
        });
        CompletableFuture<ClaimOutcome> outcome = claim("thrown");
        LocalFleet.await("the claim is completed", outcome::isDone);
        assertInstanceOf(ClaimOutcome.Refused.class, outcome.join());
        LocalFleet.await("every claim is settled", () -> duty.outstandingClaims() == 0);
    }
}
