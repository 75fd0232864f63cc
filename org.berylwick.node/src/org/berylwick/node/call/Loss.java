package org.berylwick.node.call;

import java.util.Optional;
import org.berylwick.node.lib.SuspectReport;

/**
 * How an attempt was lost that may have run.
 *
 * @param cause cause for the log
 * @param crash set if the backend server ended while it ran the request
 */
public record Loss(String cause, Optional<SuspectReport.Crashed> crash) {
    /** A loss for another cause than the end of the backend server. */
    public static Loss of(String cause) {
        return new Loss(cause, Optional.empty());
    }
}
