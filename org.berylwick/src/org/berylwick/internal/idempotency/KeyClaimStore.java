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
 * Decides through the platform's store which request runs under a key.
 *
 * <p>A claim is a conditional update of the key's slot object: of several daemons that claim one key, the store lets
 * one through. A claim is never taken over, so a claimant that was paused for however long does no harm, and one that
 * died leaves its key taken until it expires. Slot objects are never deleted; an update that is overtaken therefore
 * always fails its precondition.
 *
 * <p>All calls block; any thread may call.
 */
public final class KeyClaimStore {
    private static final int MAX_ATTEMPTS = 16;
    // One call that goes unanswered must leave time for the read that settles it.
    private static final long STORE_CALL_TIMEOUT_MILLIS = 500;
    private static final int MAX_SLOT_BYTES = PlatformStore.MAX_VALUE_BYTES / 2;
    private static final int MAX_CACHED_SLOT_BYTES = 16 << 10;

    private final PlatformStore store;
    private final String claimant;
    private final TimeSource time;

    /**
     * Claims in the name of one daemon.
     *
     * @param store stays the caller's to close
     * @param claimant instance name of the daemon
     */
    public KeyClaimStore(PlatformStore store, String claimant, TimeSource time) {
        this.store = store;
        this.claimant = claimant;
        this.time = time;
    }

    /** Tries to claim a key: two calls of the store if nobody holds it, one if somebody does. */
    public ClaimOutcome claim(KeyRequest request, Deadline deadline) {
        String claimId = UUID.randomUUID().toString();
        boolean writeInDoubt = false;
        ClaimError lastError = new ClaimError.Undecided("the deadline passed before the claim");
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !deadline.isPast(time); attempt++) {
            Result<VersionedSlot, ClaimError> read = read(request.key(), deadline);
            if (!(read instanceof Result.Ok<VersionedSlot, ClaimError>(VersionedSlot current))) {
                return refused(request, claimId, writeInDoubt, ((Result.Err<VersionedSlot, ClaimError>) read).error());
            }
            long nowMillis = time.epochMillis();
            Optional<KeyRecord> existing = current.slot().find(request.key(), nowMillis);
            if (existing.isPresent()) {
                // A claim whose answer was lost has taken effect: without knowing its own record again, the
                // claimant would tell its caller that another request holds the key, and the request never runs.
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

    /** A client below may have repeated the write, so "precondition failed" can be the echo of our own success. */
    private static boolean mayHaveTakenEffect(StoreError error) {
        return error instanceof StoreError.OutcomeUnknown || error instanceof StoreError.PreconditionFailed;
    }

    private static ClaimOutcome granted(KeyRequest request, String claimId, Optional<VersionedSlot> slotAfterWrite) {
        return new ClaimOutcome.Granted(new KeyClaim(request.key(), claimId, slotAfterWrite, false));
    }

    private static ClaimOutcome refused(KeyRequest request, String claimId, boolean writeInDoubt, ClaimError error) {
        Optional<KeyClaim> toRelease = writeInDoubt
                ? Optional.of(new KeyClaim(request.key(), claimId, Optional.empty(), true))
                : Optional.empty();
        return new ClaimOutcome.Refused(error, toRelease);
    }

    /** Ends a claim: one call of the store if its slot has not changed since the claim, two if it has. */
    public SettleOutcome settle(KeyClaim claim, Settlement settlement, Deadline deadline) {
        Optional<VersionedSlot> cached = claim.slotAfterClaim();
        ClaimError lastError = new ClaimError.Undecided("the deadline passed before the claim was settled");
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
            // A write of a claim in doubt may be on its way still. It would land after the release and take the key
            // for a request that never ran; so the slot is written once more, and the late write fails its
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

    /** Writes the slot; the image is left out if it is too large to be kept in memory. */
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
