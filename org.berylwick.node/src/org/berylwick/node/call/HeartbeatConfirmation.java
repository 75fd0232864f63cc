package org.berylwick.node.call;

import org.berylwick.node.lib.BackendReport;

/**
 * Tells, without knowledge of earlier leaves, whether heartbeats show that an incarnation is ready now.
 *
 * <p>A heartbeat may have been sent before the incarnation left, and been held up. Those that were held up arrive alone
 * or all at once, so two with rising numbers and time between them show that the incarnation still sends them. A health
 * check shows nothing here: its answer may be false.
 */
final class HeartbeatConfirmation {
    private final long minGapNanos;
    private String incarnation = "";
    private long sequence;
    private long receivedAt;

    /** @param minGapNanos least time between two heartbeats that were not held up */
    HeartbeatConfirmation(long minGapNanos) {
        this.minGapNanos = minGapNanos;
    }

    /**
     * Returns whether a report is the second of two heartbeats that show that the incarnation is ready.
     *
     * @param report a heartbeat or the result of a health check
     * @param now current time
     */
    boolean confirms(BackendReport report, long now) {
        if (report.sequence() < 0) {
            return false;
        }
        if (!report.incarnation().equals(incarnation)) {
            incarnation = report.incarnation();
            sequence = report.sequence();
            receivedAt = now;
            return false;
        }
        return report.sequence() > sequence && now - receivedAt >= minGapNanos;
    }
}
