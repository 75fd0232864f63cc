package org.berylwick.node.member;

import io.netty.channel.EventLoop;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;

/** Enters this node in the list that lasts, and looks there for others now and then; confined to the event loop. */
public final class NodeDiscovery {
    private static final long INITIAL_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** Others tell of themselves by datagrams; the list only heals what those missed. */
    private static final long REFRESH_MILLIS_PER_NODE = 1_500;

    private static final long MIN_REFRESH_MILLIS = 8_000;

    private final EventLoop loop;
    private final NodeDirectory directory;
    private final Gossip gossip;
    private final Counters counters;
    private final EventLog log;
    private final String name;
    private final String ip;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private boolean directoryRead;

    /**
     * @param loop all runs on it
     * @param directory keeps the list
     * @param gossip is told of addresses
     * @param counters takes counts
     * @param log takes events
     * @param name of this VM
     * @param ip of this VM
     */
    public NodeDiscovery(
            EventLoop loop,
            NodeDirectory directory,
            Gossip gossip,
            Counters counters,
            EventLog log,
            String name,
            String ip) {
        this.loop = loop;
        this.directory = directory;
        this.gossip = gossip;
        this.counters = counters;
        this.log = log;
        this.name = name;
        this.ip = ip;
    }

    /** Starts. */
    public void start() {
        register();
    }

    /** Whether the list was read in this life. */
    public boolean isDirectoryRead() {
        return directoryRead;
    }

    private void register() {
        directory.register(name, ip, registered -> {
            if (!registered) {
                counters.add(NodeMetricNames.DIRECTORY_FAILURES);
                loop.schedule(this::register, nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            refresh();
        });
    }

    private void refresh() {
        directory.list(result -> {
            switch (result) {
                case NodeDirectory.ListResult.Listed found -> {
                    directoryRead = true;
                    retryMillis = INITIAL_RETRY_MILLIS;
                    found.addresses().forEach(gossip::addPeerAddress);
                    long refreshMillis =
                            Math.max(MIN_REFRESH_MILLIS, REFRESH_MILLIS_PER_NODE * (gossip.peerAddressCount() + 1));
                    long jitterMillis = ThreadLocalRandom.current().nextLong(refreshMillis / 2);
                    loop.schedule(this::refresh, refreshMillis + jitterMillis, TimeUnit.MILLISECONDS);
                }
                case NodeDirectory.ListResult.Failed failed -> {
                    log.write(Event.STORE_CALL_FAILED, "call", "list nodes", "cause", failed.cause());
                    counters.add(NodeMetricNames.DIRECTORY_FAILURES);
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
