package org.berylwick.daemon.call;

import java.util.Optional;
import org.berylwick.lib.Deadline;

/** What bounds the time that the answer takes after its head. */
sealed interface TransferLimit {
    /**
     * The whole answer must be there.
     *
     * @param deadline when
     */
    record CompletionDeadline(Deadline deadline) implements TransferLimit {}

    /**
     * Some of the body must have moved.
     *
     * <p>For bulk transfers: however long one takes, it is cut only when it stands still.
     *
     * @param stallMillis longest time in which nothing moves
     * @param callerDeadline when the caller itself stops waiting, if it said so
     */
    record StallTimeout(long stallMillis, Optional<Deadline> callerDeadline) implements TransferLimit {}
}
