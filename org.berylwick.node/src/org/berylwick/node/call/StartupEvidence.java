package org.berylwick.node.call;

import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.Incarnation;

/**
 * Collects, while the departures that earlier processes of this node recorded are unknown, what shows that an
 * incarnation is ready now.
 *
 * <p>A heartbeat proves only what was true when it was sent: several may be held up on their way by the same time, and
 * arrive in their usual intervals after the incarnation has left. A health check was asked by this process, but may be
 * answered falsely, and other nodes may have missed the leave. So a health check and one of the others are needed
 * together. A heartbeat that arrives when all from before the start must have arrived is enough alone.
 */
final class StartupEvidence {
    /** A heartbeat may arrive seconds late; one that arrives this long after the start was sent after the start. */
    static final long MAX_HEARTBEAT_DELAY_NANOS = 10_000_000_000L;

    private static final Incarnation NONE = Incarnation.of("");

    private final long startedAt;
    private final long minHeartbeatGapNanos;
    private Incarnation heartbeatIncarnation = NONE;
    private long heartbeatSequence;
    private long heartbeatAt;
    private Incarnation sendingHeartbeats = NONE;
    private Incarnation sentAfterStart = NONE;
    private String healthyId = NONE.id();
    private Incarnation formerlyReady = NONE;

    /**
     * @param startedAt when this process started, or later
     * @param minHeartbeatGapNanos least time between two heartbeats that did not arrive in a burst
     */
    StartupEvidence(long startedAt, long minHeartbeatGapNanos) {
        this.startedAt = startedAt;
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
        if (now - startedAt > MAX_HEARTBEAT_DELAY_NANOS) {
            sentAfterStart = heartbeat.incarnation();
        }
        if (!heartbeat.incarnation().equals(heartbeatIncarnation)) {
            heartbeatIncarnation = heartbeat.incarnation();
            heartbeatSequence = heartbeat.sequence();
            heartbeatAt = now;
        } else if (heartbeat.sequence() > heartbeatSequence && now - heartbeatAt >= minHeartbeatGapNanos) {
            sendingHeartbeats = heartbeat.incarnation();
        }
    }

    boolean isEnoughFor(Incarnation incarnation) {
        if (incarnation.equals(sentAfterStart)) {
            return true;
        }
        return incarnation.id().equals(healthyId)
                && (incarnation.equals(sendingHeartbeats) || isFormerlyReady(incarnation));
    }

    /** The answer of a health check does not state when the backend server started. */
    private boolean isFormerlyReady(Incarnation incarnation) {
        return incarnation.equals(formerlyReady)
                || (!incarnation.hasBorn() && incarnation.id().equals(formerlyReady.id()));
    }
}
