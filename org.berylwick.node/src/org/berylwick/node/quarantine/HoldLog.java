package org.berylwick.node.quarantine;

import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Logs and counts the holds of a node's quarantine.
 *
 * @param instruments metrics and event log of the node
 */
public record HoldLog(Instruments instruments) implements Quarantine.Listener {
    @Override
    public void onHeld(RequestFingerprint request, int crashes, long holdNanos) {
        instruments.counters().increment(NodeMetricNames.QUARANTINE_HOLDS);
        instruments
                .log()
                .write(Event.REQUEST_HELD, "request", request, "crashes", crashes, "holdMs", holdNanos / 1_000_000);
    }

    @Override
    public void onCleared(RequestFingerprint request) {
        instruments.counters().increment(NodeMetricNames.QUARANTINE_CLEARED);
        instruments.log().write(Event.REQUEST_CLEARED, "request", request);
    }
}
