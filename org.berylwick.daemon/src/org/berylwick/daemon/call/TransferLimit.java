package org.berylwick.daemon.call;

import java.util.Optional;
import org.berylwick.lib.Deadline;

/** Time limit of a transfer after the head of the response has arrived. */
sealed interface TransferLimit {
    /**
     * The response must be complete by a deadline.
     *
     * @param deadline deadline for the end of the response
     */
    record CompletionDeadline(Deadline deadline) implements TransferLimit {}

    /**
     * The transfer must make progress.
     *
     * <p>Used for bulk transfers: their duration is not limited, they are aborted only when they stall.
     *
     * @param stallMillis maximum time without transferred body data
     * @param callerDeadline deadline set by the caller, if any
     */
    record StallTimeout(long stallMillis, Optional<Deadline> callerDeadline) implements TransferLimit {}
}
