package org.berylwick.node;

import org.berylwick.node.call.Backend;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.PeerServer;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Gossip;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.VmLink;
import org.berylwick.node.version.VersionUpdater;

/** Registers the gauges of a node, which are read on its event loop. */
final class NodeGauges {
    private NodeGauges() {}

    static void register(
            Instruments instruments,
            Owner owner,
            PeerServer peerServer,
            VmLink link,
            VersionUpdater versionUpdater,
            MemberTable members,
            Gossip gossip,
            Quarantine quarantine) {
        Counters counters = instruments.counters();
        counters.registerGauge(NodeMetricNames.OWNER_RUNNING, () -> owner.load().running());
        counters.registerGauge(NodeMetricNames.OWNER_ANSWERING, owner::respondingCount);
        counters.registerGauge(NodeMetricNames.PEERS_UNSENT_BYTES, peerServer::unsentBytes);
        counters.registerGauge(
                NodeMetricNames.LINK_OUTGOING_BUSY_MS, () -> link.outgoing().busyNanos() / 1_000_000);
        counters.registerGauge(NodeMetricNames.OWNER_QUEUED, () -> owner.load().queued());
        counters.registerGauge(
                NodeMetricNames.OWNER_ORGANISATIONS, () -> owner.shares().size());
        counters.registerGauge(
                NodeMetricNames.OWNER_LARGEST_SHARE_PERCENT,
                () -> owner.shares().largestPercent());
        counters.registerGauge(NodeMetricNames.OWNER_SLOTS, () -> owner.load().slots());
        counters.registerGauge(
                NodeMetricNames.OWNER_START_INTERVAL_US, () -> owner.load().startIntervalNanos() / 1_000);
        counters.registerGauge(NodeMetricNames.OWNER_MEAN_US, () -> owner.load().meanNanos() / 1_000);
        counters.registerGauge(
                NodeMetricNames.OWNER_SLOWDOWN_PERCENT, () -> owner.load().slowdownPercent());
        counters.registerGauge(
                NodeMetricNames.VERSION_IN_FORCE,
                () -> versionUpdater.version().map(v -> v.number()).orElse(0L));
        counters.registerGauge(
                NodeMetricNames.VERSION_NEWEST_KNOWN,
                () -> versionUpdater.freshness().newestNumber());
        counters.registerGauge(
                NodeMetricNames.MEMBERS_HEARD,
                () -> members.countReachableWithin(gossip.silenceTimeoutNanos(), System.nanoTime()));
        counters.registerGauge(
                NodeMetricNames.OWNER_CONNECTIONS_OPENED,
                () -> owner.backend().map(Backend::connectionsOpened).orElse(0L));
        counters.registerGauge(NodeMetricNames.QUARANTINE_HELD, quarantine::heldCount);
        counters.registerGauge(NodeMetricNames.LOG_LINES_DROPPED, instruments.log()::droppedLines);
    }
}
