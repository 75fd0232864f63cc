package org.berylwick.node.member;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.berylwick.node.lib.RetryDelay;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Reads the persistent node directory periodically, once this node is registered there, to discover other nodes.
 * Confined to the event loop.
 */
public final class NodeDiscovery {
    private static final long INITIAL_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /**
     * Time by which each node in the fleet lengthens the interval between two reads of the directory, so that the load
     * on the directory does not grow with the fleet. Nodes normally learn of each other by gossip; the directory is
     * only needed to find those that were missed because datagrams were lost.
     */
    private static final long REFRESH_MILLIS_PER_NODE = 1_500;

    private static final long MIN_REFRESH_MILLIS = 8_000;

    private final EventLoop loop;
    private final NodeDirectory directory;
    private final DirectoryRegistration registration;
    private final Gossip gossip;
    private final Instruments instruments;
    private final Consumer<List<SuspectReport.Crashed>> onCrashes;
    private final RetryDelay retryDelay = new RetryDelay(INITIAL_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private boolean directoryRead;

    /**
     * @param loop event loop on which everything runs
     * @param directory persistent list of all nodes
     * @param registration registers this node there
     * @param gossip receives the addresses of the nodes in the directory
     * @param instruments receive metric counts and events
     * @param onCrashes receives the crashes that are recorded in the directory
     */
    public NodeDiscovery(
            EventLoop loop,
            NodeDirectory directory,
            DirectoryRegistration registration,
            Gossip gossip,
            Instruments instruments,
            Consumer<List<SuspectReport.Crashed>> onCrashes) {
        this.loop = loop;
        this.directory = directory;
        this.registration = registration;
        this.gossip = gossip;
        this.instruments = instruments;
        this.onCrashes = onCrashes;
    }

    /** Registers this node, retrying until that succeeds, and then starts the periodic reads. */
    public void start() {
        registration.start(this::refresh);
    }

    /** Whether the directory has been read at least once since this process started. */
    public boolean isDirectoryRead() {
        return directoryRead;
    }

    private void refresh() {
        directory.list(result -> {
            switch (result) {
                case NodeDirectory.ListResult.Listed found -> {
                    directoryRead = true;
                    instruments.reportUnusable("nodes", found.unusable());
                    retryDelay.reset();
                    found.addresses().forEach(gossip::addPeerAddress);
                    onCrashes.accept(found.crashes());
                    long refreshMillis =
                            Math.max(MIN_REFRESH_MILLIS, REFRESH_MILLIS_PER_NODE * (gossip.peerAddressCount() + 1));
                    long jitterMillis = ThreadLocalRandom.current().nextLong(refreshMillis / 2);
                    loop.schedule(this::refresh, refreshMillis + jitterMillis, TimeUnit.MILLISECONDS);
                }
                case NodeDirectory.ListResult.Failed failed -> {
                    instruments.log().write(Event.STORE_CALL_FAILED, "call", "list nodes", "cause", failed.cause());
                    instruments.counters().increment(NodeMetricNames.DIRECTORY_FAILURES);
                    loop.schedule(this::refresh, retryDelay.next(), TimeUnit.MILLISECONDS);
                }
            }
        });
    }
}
