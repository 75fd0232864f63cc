package org.berylwick.node.call;

import org.berylwick.node.lib.BackendReport;

/**
 * Collects, while the departures that earlier processes of this node recorded are unknown, what shows that an
 * incarnation is ready now.
 *
 * <p>A heartbeat may have been sent before the incarnation left, and been held up. Those that were held up arrive alone
 * or all at once, so two with rising numbers and time between them show that the incarnation still sends them. A health
 * check may be answered falsely, and other nodes may have missed the leave; both together are enough.
 */
final class StartupEvidence {
    private static final String NONE = "";

    private final long minHeartbeatGapNanos;
    private String heartbeatIncarnation = NONE;
    private long heartbeatSequence;
    private long heartbeatAt;
    private String sendingHeartbeats = NONE;
    private String healthy = NONE;
    private String formerlyReady = NONE;

    /** @param minHeartbeatGapNanos least time between two heartbeats that were not held up */
    StartupEvidence(long minHeartbeatGapNanos) {
        this.minHeartbeatGapNanos = minHeartbeatGapNanos;
    }

    void onHealthy(String incarnation) {
        healthy = incarnation;
    }

    /** Another node heard from an earlier process of this node that the incarnation was ready. */
    void onFormerlyReady(String incarnation) {
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

    boolean isEnoughFor(String incarnation) {
        return incarnation.equals(sendingHeartbeats)
                || (incarnation.equals(healthy) && incarnation.equals(formerlyReady));
    }
}
