package org.berylwick.node.call;

import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.Incarnation;

/**
 * Collects, while the departures that earlier processes of this node recorded are unknown, what shows that an
 * incarnation is ready now.
 *
 * <p>A heartbeat may have been sent before the incarnation left, and been held up. Those that were held up arrive alone
 * or all at once, so two with rising numbers and time between them show that the incarnation still sends them. A health
 * check may be answered falsely, and other nodes may have missed the leave; both together are enough.
 */
final class StartupEvidence {
    private static final Incarnation NONE = Incarnation.of("");

    private final long minHeartbeatGapNanos;
    private Incarnation heartbeatIncarnation = NONE;
    private long heartbeatSequence;
    private long heartbeatAt;
    private Incarnation sendingHeartbeats = NONE;
    private String healthyId = NONE.id();
    private Incarnation formerlyReady = NONE;

    /** @param minHeartbeatGapNanos least time between two heartbeats that were not held up */
    StartupEvidence(long minHeartbeatGapNanos) {
        this.minHeartbeatGapNanos = minHeartbeatGapNanos;
    }

    void onHealthy(Incarnation incarnation) {
        healthyId = incarnation.id();
    }

    /** Another node heard from an earlier process of this node that the incarnation was ready. */
    void onFormerlyReady(Incarnation incarnation) {
        formerlyReady = incarnation;
    }

    void onHeartbeat(BackendReport heartbeat, long now) {
        if (!heartbeat.incarnation().equals(heartbeatIncarnation)) {
            heartbeatIncarnation = heartbeat.incarnation();
            heartbeatSequence = heartbeat.sequence();
            heartbeatAt = now;
        } else if (heartbeat.sequence() > heartbeatSequence && now - heartbeatAt >= minHeartbeatGapNanos) {
            sendingHeartbeats = heartbeat.incarnation();
        }
    }

    boolean isEnoughFor(Incarnation incarnation) {
        return incarnation.equals(sendingHeartbeats)
                || (incarnation.id().equals(healthyId) && isFormerlyReady(incarnation));
    }

    /** The answer of a health check does not state when the backend server started. */
    private boolean isFormerlyReady(Incarnation incarnation) {
        return incarnation.equals(formerlyReady)
                || (!incarnation.hasBorn() && incarnation.id().equals(formerlyReady.id()));
    }
}
