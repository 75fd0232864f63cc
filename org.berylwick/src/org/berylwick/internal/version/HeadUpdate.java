package org.berylwick.internal.version;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.errors.StoreError;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.HistorySegment.Entry;
import org.berylwick.internal.version.VersionRepository.Acceptance;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;

/**
 * The conditional write of the head that accepts one version, repeated until it is known what became of it.
 *
 * <p>A write whose answer was lost may still be under way, and the head may still be the base: an answer "nothing
 * changed" would turn false when the write arrives. So the same write is sent again, with the same content and
 * precondition. At most one of its copies takes effect, since each does only on the base; and once the head has left
 * the base no copy can, so that what the history says from then on is final.
 */
final class HeadUpdate {
    private static final long MAX_PAUSE_MILLIS = 500;

    private final VersionRepository repository;
    private final PlatformStore store;
    private final TimeSource time;
    private final long firstPauseMillis;

    /** @param firstPauseMillis before the second repeat; doubles from there */
    HeadUpdate(VersionRepository repository, PlatformStore store, TimeSource time, long firstPauseMillis) {
        this.repository = repository;
        this.store = store;
        this.time = time;
        this.firstPauseMillis = firstPauseMillis;
    }

    /**
     * What is to be written.
     *
     * @param base the head that it replaces
     * @param content the version that it names
     * @param value the encoded head
     */
    record Write(AcceptedHead base, VersionContent content, byte[] value) {
        String operationId() {
            return content.manifest().audit().operationId();
        }

        Precondition precondition() {
            return base.headVersion() == 0
                    ? new Precondition.MustBeAbsent()
                    : new Precondition.MustHaveVersion(base.headVersion());
        }
    }

    /** What one sending told. */
    private sealed interface Sent {
        /** The head names the version. */
        record Accepted() implements Sent {}

        /** The head is not the base any more: by another's write, or by an earlier copy of this one. */
        record HeadMoved() implements Sent {}

        /** This copy did nothing. */
        record NotWritten(VersionError error) implements Sent {}

        /** This copy did something, or will, or not. */
        record Unknown(String detail) implements Sent {}
    }

    Result<Acceptance, VersionError> run(Write write, Deadline deadline) {
        boolean mayBeUnderWay = false;
        long pauseMillis = 0;
        while (true) {
            String detail;
            switch (send(write, deadline)) {
                case Sent.Accepted() -> {
                    return Result.ok(new Acceptance(write.content().id(), false));
                }
                case Sent.NotWritten(VersionError error) -> {
                    if (!mayBeUnderWay) {
                        return Result.err(error);
                    }
                    detail = error.toString();
                }
                case Sent.HeadMoved() -> {
                    Optional<Result<Acceptance, VersionError>> settled = lookUp(write, deadline);
                    if (settled.isPresent()) {
                        return settled.get();
                    }
                    detail = "the head has moved and could not be read";
                }
                case Sent.Unknown(String lost) -> {
                    mayBeUnderWay = true;
                    detail = lost;
                }
            }
            if (deadline.remainingMillis(time) <= pauseMillis || !pause(pauseMillis)) {
                return Result.err(new VersionError.Undecided(write.operationId(), detail));
            }
            pauseMillis = Math.clamp(2 * pauseMillis, firstPauseMillis, MAX_PAUSE_MILLIS);
        }
    }

    private Sent send(Write write, Deadline deadline) {
        return switch (store.put(VersionRepository.HEAD, write.value(), write.precondition(), deadline)) {
            case Result.Ok<Long, StoreError> ignored -> new Sent.Accepted();
            case Result.Err<Long, StoreError>(StoreError.PreconditionFailed ignored) -> new Sent.HeadMoved();
            case Result.Err<Long, StoreError>(StoreError.OutcomeUnknown(String detail)) -> new Sent.Unknown(detail);
            case Result.Err<Long, StoreError>(StoreError.Malformed(String detail)) -> new Sent.Unknown(detail);
            case Result.Err<Long, StoreError>(StoreError error) -> new Sent.NotWritten(VersionError.ofRead(error));
        };
    }

    /** Looks whether the operation is in the history since the base; empty if that could not be seen. */
    private Optional<Result<Acceptance, VersionError>> lookUp(Write write, Deadline deadline) {
        if (!(repository.readHead(deadline) instanceof Result.Ok<AcceptedHead, VersionError>(AcceptedHead head))) {
            return Optional.empty();
        }
        long base = write.base().id().number();
        // The store refused the write because the head left the base; a read that still shows the base,
        // or less, is late and says nothing about what came after it.
        if (head.id().number() <= base) {
            return Optional.empty();
        }
        return switch (repository.findOperation(head, write.operationId(), base, deadline)) {
            case Result.Err<Optional<Entry>, VersionError> ignored -> Optional.empty();
            case Result.Ok<Optional<Entry>, VersionError>(Optional<Entry> found) ->
                Optional.of(found.<Result<Acceptance, VersionError>>map(e -> Result.ok(new Acceptance(
                                e.id(), !e.id().equals(write.content().id()))))
                        .orElseGet(() -> Result.err(new VersionError.Superseded())));
        };
    }

    private static boolean pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
