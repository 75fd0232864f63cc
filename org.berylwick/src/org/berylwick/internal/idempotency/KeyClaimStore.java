package org.berylwick.internal.idempotency;

import java.util.Optional;
import java.util.UUID;
import org.berylwick.errors.ClaimError;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.idempotency.KeyClaim.VersionedSlot;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;

/**
 * Claims idempotency keys in the platform's store, which decides which of several requests with the same key runs.
 *
 * <p>A claim is a conditional update of the key's slot object: if several daemons claim a key concurrently, the store
 * accepts one update and rejects the others. A claim is never transferred to another request. A claimant that was
 * paused for any length of time therefore cannot cause a second run, and the key of a claimant that crashed remains
 * claimed until its record expires. Slot objects are never deleted, so an update based on an outdated version always
 * fails its precondition.
 *
 * <p>All calls block. Thread-safe.
 */
public final class KeyClaimStore {
    private static final int MAX_ATTEMPTS = 16;
    // After a store call that timed out, enough of the claim's or settlement's deadline must remain to read the slot
    // and find out whether the call took effect.
    private static final long STORE_CALL_TIMEOUT_MILLIS = 500;
    private static final int MAX_SLOT_BYTES = PlatformStore.MAX_VALUE_BYTES / 2;
    private static final int MAX_CACHED_SLOT_BYTES = 16 << 10;

    private final PlatformStore store;
    private final String claimant;
    private final TimeSource time;

    /**
     * Creates a client that makes claims on behalf of one daemon.
     *
     * @param store the platform's store; not closed by this class
     * @param claimant the instance name of the daemon
     */
    public KeyClaimStore(PlatformStore store, String claimant, TimeSource time) {
        this.store = store;
        this.claimant = claimant;
        this.time = time;
    }

    /** Tries to claim a key. Without conflicts or faults, this takes two store calls if the key is free, else one. */
    public ClaimOutcome claim(KeyRequest request, Deadline deadline) {
        String claimId = UUID.randomUUID().toString();
        boolean writeInDoubt = false;
        ClaimError lastError =
                new ClaimError.Undecided("the deadline passed before the first attempt to claim the key");
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !deadline.isPast(time); attempt++) {
            Result<VersionedSlot, ClaimError> read = read(request.key(), deadline);
            if (!(read instanceof Result.Ok<VersionedSlot, ClaimError>(VersionedSlot current))) {
                return refused(request, claimId, writeInDoubt, ((Result.Err<VersionedSlot, ClaimError>) read).error());
            }
            long nowMillis = time.epochMillis();
            Optional<KeyRecord> existing = current.slot().find(request.key(), nowMillis);
            if (existing.isPresent()) {
                // An earlier update by this claim may have taken effect although its response was lost. If the
                // claimant did not recognize its own record, it would report that another request holds the key, and
                // no request would ever run.
                return existing.get().claimId().equals(claimId)
                        ? granted(request, claimId, Optional.empty())
                        : new ClaimOutcome.Taken(existing.get());
            }
            KeyRecord record = new KeyRecord(
                    request.key().hash().hex(),
                    request.fingerprint().hex(),
                    claimId,
                    claimant,
                    nowMillis,
                    new KeyState.Claimed(request.deadlineEpochMillis()));
            KeySlot updated = current.slot().withRecord(record, nowMillis);
            switch (write(request.key(), current.version(), updated, deadline)) {
                case Result.Ok<Optional<VersionedSlot>, StoreError>(Optional<VersionedSlot> slotAfterWrite) -> {
                    return granted(request, claimId, slotAfterWrite);
                }
                case Result.Err<Optional<VersionedSlot>, StoreError>(StoreError error) -> {
                    lastError = ClaimError.of(error);
                    if (!mayHaveTakenEffect(error)) {
                        return refused(request, claimId, writeInDoubt, lastError);
                    }
                    writeInDoubt = true;
                }
            }
        }
        return refused(request, claimId, writeInDoubt, lastError);
    }

    /**
     * Whether a failed write may have changed the slot. This includes a failed precondition: the underlying client may
     * have sent the write twice, in which case the second one fails because the first one succeeded.
     */
    private static boolean mayHaveTakenEffect(StoreError error) {
        return error instanceof StoreError.OutcomeUnknown || error instanceof StoreError.PreconditionFailed;
    }

    private static ClaimOutcome granted(KeyRequest request, String claimId, Optional<VersionedSlot> slotAfterWrite) {
        return new ClaimOutcome.Granted(new KeyClaim(request.key(), claimId, slotAfterWrite, false));
    }

    private static ClaimOutcome refused(KeyRequest request, String claimId, boolean writeInDoubt, ClaimError error) {
        Optional<KeyClaim> claimToRelease = writeInDoubt
                ? Optional.of(new KeyClaim(request.key(), claimId, Optional.empty(), true))
                : Optional.empty();
        return new ClaimOutcome.Refused(error, claimToRelease);
    }

    /**
     * Settles a claim. Without conflicts or faults, this takes one store call if the claim carries a slot that is still
     * current, two if it carries no slot, and three if its slot has changed since.
     */
    public SettleOutcome settle(KeyClaim claim, Settlement settlement, Deadline deadline) {
        Optional<VersionedSlot> cached = claim.slotAfterClaim();
        ClaimError lastError =
                new ClaimError.Undecided("the deadline passed before the first attempt to settle the claim");
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !deadline.isPast(time); attempt++) {
            Result<VersionedSlot, ClaimError> read = cached.<Result<VersionedSlot, ClaimError>>map(Result::ok)
                    .orElseGet(() -> read(claim.key(), deadline));
            cached = Optional.empty();
            if (!(read instanceof Result.Ok<VersionedSlot, ClaimError>(VersionedSlot current))) {
                return new SettleOutcome.RetryNeeded(((Result.Err<VersionedSlot, ClaimError>) read).error());
            }
            Optional<KeyRecord> ownRecord = current.slot().findClaim(claim.claimId());
            Optional<SettleOutcome> outcome = outcomeIfAlreadySettled(claim, settlement, ownRecord);
            if (outcome.isPresent()) {
                return outcome.get();
            }
            KeySlot updated = switch (settlement) {
                case Settlement.Release() -> current.slot().withoutClaim(claim.claimId());
                case Settlement.Keep(KeyState state) -> current.slot().withState(claim.claimId(), state);
            };
            switch (write(claim.key(), current.version(), updated, deadline)) {
                case Result.Ok<Optional<VersionedSlot>, StoreError> ignored -> {
                    return new SettleOutcome.Settled();
                }
                case Result.Err<Optional<VersionedSlot>, StoreError>(StoreError error) -> {
                    lastError = ClaimError.of(error);
                    if (!mayHaveTakenEffect(error)) {
                        return new SettleOutcome.RetryNeeded(lastError);
                    }
                }
            }
        }
        return new SettleOutcome.RetryNeeded(lastError);
    }

    private static Optional<SettleOutcome> outcomeIfAlreadySettled(
            KeyClaim claim, Settlement settlement, Optional<KeyRecord> ownRecord) {
        return switch (settlement) {
            // A write in doubt may still be in transit. If it took effect after the release, the key would be claimed
            // by a request that never ran. Writing the slot once more, even unchanged, makes the delayed write fail its
            // precondition.
            case Settlement.Release() ->
                ownRecord.isEmpty() && !claim.writeInDoubt()
                        ? Optional.of(new SettleOutcome.Settled())
                        : Optional.empty();
            case Settlement.Keep ignored -> {
                if (ownRecord.isEmpty()) {
                    yield Optional.of(new SettleOutcome.ClaimLost());
                }
                yield ownRecord.get().run() instanceof KeyState.Claimed
                        ? Optional.empty()
                        : Optional.of(new SettleOutcome.Settled());
            }
        };
    }

    private Result<VersionedSlot, ClaimError> read(KeyId key, Deadline deadline) {
        return store.get(key.slotObjectKey(), callDeadline(deadline))
                .mapError(ClaimError::of)
                .flatMap(KeyClaimStore::decode);
    }

    private static Result<VersionedSlot, ClaimError> decode(Optional<StoredObject> found) {
        if (found.isEmpty()) {
            return Result.ok(new VersionedSlot(0, KeySlot.EMPTY));
        }
        StoredObject object = found.get();
        return KeySlot.decode(object.value())
                .map(slot -> new VersionedSlot(object.version(), slot))
                .mapError(ClaimError.Unreadable::new);
    }

    /** Writes the slot and returns it with its new version; empty if it is too large to be cached in memory. */
    private Result<Optional<VersionedSlot>, StoreError> write(
            KeyId key, long version, KeySlot slot, Deadline deadline) {
        Optional<byte[]> bytes = slot.encode(MAX_SLOT_BYTES);
        if (bytes.isEmpty()) {
            return Result.err(new StoreError.TooLarge(MAX_SLOT_BYTES));
        }
        Precondition precondition =
                version == 0 ? new Precondition.MustBeAbsent() : new Precondition.MustHaveVersion(version);
        boolean cacheable = bytes.get().length <= MAX_CACHED_SLOT_BYTES;
        return store.put(key.slotObjectKey(), bytes.get(), precondition, callDeadline(deadline))
                .map(newVersion -> cacheable ? Optional.of(new VersionedSlot(newVersion, slot)) : Optional.empty());
    }

    private Deadline callDeadline(Deadline deadline) {
        return deadline.earlier(Deadline.afterMillis(time, STORE_CALL_TIMEOUT_MILLIS));
    }
}
