package org.berylwick.node.member;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Registers this node in the persistent node directory and reads the directory periodically to discover other nodes.
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
    private final Gossip gossip;
    private final Counters counters;
    private final EventLog log;
    private final String vmName;
    private final String ip;
    private final Supplier<List<SuspectReport.Crashed>> crashes;
    private final Consumer<List<SuspectReport.Crashed>> onCrashes;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private boolean directoryRead;
    private boolean registered;
    private boolean recording;

    /**
     * @param loop event loop on which everything runs
     * @param directory persistent list of all nodes
     * @param gossip receives the addresses of the nodes in the directory
     * @param counters metrics of this node
     * @param log event log of this node
     * @param vmName name of this VM, the key of its directory entry
     * @param ip IP address of this VM
     * @param crashes supplies the crashes that must outlast the loss of all nodes
     * @param onCrashes receives those that are recorded in the directory
     */
    public NodeDiscovery(
            EventLoop loop,
            NodeDirectory directory,
            Gossip gossip,
            Counters counters,
            EventLog log,
            String vmName,
            String ip,
            Supplier<List<SuspectReport.Crashed>> crashes,
            Consumer<List<SuspectReport.Crashed>> onCrashes) {
        this.loop = loop;
        this.directory = directory;
        this.gossip = gossip;
        this.counters = counters;
        this.log = log;
        this.vmName = vmName;
        this.ip = ip;
        this.crashes = crashes;
        this.onCrashes = onCrashes;
    }

    /** Registers this node, retrying until that succeeds, and then starts the periodic reads. */
    public void start() {
        register();
    }

    /** Whether the directory has been read at least once since this process started. */
    public boolean isDirectoryRead() {
        return directoryRead;
    }

    private void register() {
        directory.register(vmName, ip, done -> {
            if (!done) {
                counters.increment(NodeMetricNames.DIRECTORY_FAILURES);
                loop.schedule(this::register, nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            registered = true;
            refresh();
        });
    }

    /** Records the current crashes in the directory, retrying until that succeeds. */
    public void recordCrashes() {
        if (!recording) {
            recording = true;
            loop.execute(this::tryRecord);
        }
    }

    private void tryRecord() {
        if (!registered) {
            loop.schedule(this::tryRecord, nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        recording = false;
        directory.record(vmName, ip, crashes.get(), recorded -> {
            if (!recorded) {
                counters.increment(NodeMetricNames.DIRECTORY_FAILURES);
                loop.schedule(this::recordCrashes, nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    private void refresh() {
        directory.list(result -> {
            switch (result) {
                case NodeDirectory.ListResult.Listed found -> {
                    directoryRead = true;
                    retryMillis = INITIAL_RETRY_MILLIS;
                    found.addresses().forEach(gossip::addPeerAddress);
                    onCrashes.accept(found.crashes());
                    long refreshMillis =
                            Math.max(MIN_REFRESH_MILLIS, REFRESH_MILLIS_PER_NODE * (gossip.peerAddressCount() + 1));
                    long jitterMillis = ThreadLocalRandom.current().nextLong(refreshMillis / 2);
                    loop.schedule(this::refresh, refreshMillis + jitterMillis, TimeUnit.MILLISECONDS);
                }
                case NodeDirectory.ListResult.Failed failed -> {
                    log.write(Event.STORE_CALL_FAILED, "call", "list nodes", "cause", failed.cause());
                    counters.increment(NodeMetricNames.DIRECTORY_FAILURES);
                    loop.schedule(this::refresh, nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    private long nextRetryDelayMillis() {
        long millis = retryMillis + ThreadLocalRandom.current().nextLong(retryMillis);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
        return millis;
    }
}
