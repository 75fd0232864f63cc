package org.berylwick.node.member;

import io.netty.channel.EventLoop;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;

/** Enters this node in the list that lasts, and looks there for others now and then; confined to the event loop. */
public final class Directory {
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long LONGEST_RETRY_MILLIS = 2_000;
    /** Others tell of themselves by datagrams; the list only heals what those missed. */
    private static final long REFRESH_MILLIS_PER_NODE = 1_500;

    private static final long SHORTEST_REFRESH_MILLIS = 8_000;

    private final EventLoop loop;
    private final NodeDirectory store;
    private final Gossip gossip;
    private final Counters counters;
    private final EventLog log;
    private final String name;
    private final String ip;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean listed;

    /**
     * @param loop all runs on it
     * @param store keeps the list
     * @param gossip is told of addresses
     * @param counters takes counts
     * @param log takes events
     * @param name of this VM
     * @param ip of this VM
     */
    public Directory(
            EventLoop loop,
            NodeDirectory store,
            Gossip gossip,
            Counters counters,
            EventLog log,
            String name,
            String ip) {
        this.loop = loop;
        this.store = store;
        this.gossip = gossip;
        this.counters = counters;
        this.log = log;
        this.name = name;
        this.ip = ip;
    }

    /** Starts. */
    public void start() {
        enter();
    }

    /** Whether the list was read in this life. */
    public boolean isListed() {
        return listed;
    }

    private void enter() {
        store.enter(name, ip, entered -> {
            if (!entered) {
                counters.increment(NodeMetricNames.DIRECTORY_FAILURES);
                loop.schedule(this::enter, backOff(), TimeUnit.MILLISECONDS);
                return;
            }
            list();
        });
    }

    private void list() {
        store.list(answer -> {
            switch (answer) {
                case NodeDirectory.Answer.Listed found -> {
                    listed = true;
                    retryMillis = FIRST_RETRY_MILLIS;
                    found.addresses().forEach(gossip::addContact);
                    long refresh =
                            Math.max(SHORTEST_REFRESH_MILLIS, REFRESH_MILLIS_PER_NODE * (gossip.contactCount() + 1));
                    long jitter = ThreadLocalRandom.current().nextLong(refresh / 2);
                    loop.schedule(this::list, refresh + jitter, TimeUnit.MILLISECONDS);
                }
                case NodeDirectory.Answer.Failed failed -> {
                    log.write(Event.STORE_CALL_FAILED, "call", "list nodes", "cause", failed.cause());
                    counters.increment(NodeMetricNames.DIRECTORY_FAILURES);
                    loop.schedule(this::list, backOff(), TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    private long backOff() {
        long millis = retryMillis + ThreadLocalRandom.current().nextLong(retryMillis);
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2);
        return millis;
    }
}
