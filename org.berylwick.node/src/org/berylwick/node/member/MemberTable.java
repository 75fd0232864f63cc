package org.berylwick.node.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.berylwick.node.transport.ConnectionPool;

/** All other nodes from which a datagram was received. Confined to the event loop. */
public final class MemberTable {
    /** A node from which nothing was received for this long is removed, and its connections are closed. */
    private static final long EXPIRY_NANOS = 60_000_000_000L;

    private final Map<String, Member> byIp = new HashMap<>();
    private final Map<String, List<Member>> byService = new HashMap<>();
    private final Function<String, ConnectionPool> poolFactory;
    private final BiConsumer<Member, String> onSuspected;

    /**
     * @param poolFactory creates the connection pool for a node's IP address
     * @param onSuspected called with a node to which a call failed, and the cause
     */
    public MemberTable(Function<String, ConnectionPool> poolFactory, BiConsumer<Member, String> onSuspected) {
        this.poolFactory = poolFactory;
        this.onSuspected = onSuspected;
    }

    /** How a datagram changed what is known of its sender. */
    public enum UpdateResult {
        /** The sender was not known. */
        NEW,
        /** The sender was restarted or started to shut down, or its backend server changed. */
        CHANGED,
        /** Only numbers changed, such as the load or the version in force. */
        SAME,
        /** The datagram is older than the known state and was ignored. */
        STALE
    }

    /** Stores the state received from a node. */
    public UpdateResult update(String ip, NodeState state, long now) {
        Member member = byIp.get(ip);
        if (member == null) {
            Member added = new Member(ip, state, now, onSuspected);
            added.setPool(poolFactory.apply(ip));
            byIp.put(ip, added);
            rebuildServiceIndex();
            return UpdateResult.NEW;
        }
        NodeState previous = member.state();
        if (previous.bootId() == state.bootId() && previous.sequence() > state.sequence()) {
            return UpdateResult.STALE;
        }
        boolean changed = previous.bootId() != state.bootId()
                || previous.backendState() != state.backendState()
                || previous.leaving() != state.leaving()
                || !previous.service().equals(state.service())
                || !previous.incarnation().equals(state.incarnation())
                || !previous.rollout().softwareVersion().equals(state.rollout().softwareVersion());
        member.update(state, now);
        if (changed) {
            rebuildServiceIndex();
        }
        return changed ? UpdateResult.CHANGED : UpdateResult.SAME;
    }

    /** Nodes whose backend server provides a service and accepts requests, according to their latest state. */
    public List<Member> acceptingRequests(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Finds a node by its IP address. */
    public Optional<Member> find(String ip) {
        return Optional.ofNullable(byIp.get(ip));
    }

    /** All known nodes. */
    public Collection<Member> all() {
        return byIp.values();
    }

    /** Counts the nodes from which a datagram was received within the given time. */
    public int countReachableWithin(long spanNanos, long now) {
        int count = 0;
        for (Member member : byIp.values()) {
            if (now - member.lastDatagramAt() <= spanNanos) {
                count++;
            }
        }
        return count;
    }

    /**
     * Counts the nodes of an availability zone by the service of their backend servers.
     *
     * @param zone the availability zone
     * @param ownService service of this node, which is counted as well
     */
    public Map<String, Integer> countByService(String zone, String ownService) {
        Map<String, Integer> counts = new HashMap<>();
        counts.put(ownService, 1);
        for (Member member : byIp.values()) {
            if (member.state().zone().equals(zone)) {
                counts.merge(member.state().service(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Notifies requests that are pending on nodes that have been silent for longer than the timeout. */
    public void notifySilent(long timeoutNanos, long now) {
        for (Member member : List.copyOf(byIp.values())) {
            member.notifyIfSilent(timeoutNanos, now);
        }
    }

    /**
     * Removes nodes from which nothing was received for {@link #EXPIRY_NANOS}, and closes idle connections to all
     * nodes.
     */
    public void removeExpired(long now) {
        List<Member> expired = new ArrayList<>();
        for (Member member : byIp.values()) {
            member.pool().evictIdle();
            if (now - member.lastDatagramAt() > EXPIRY_NANOS) {
                expired.add(member);
            }
        }
        for (Member member : expired) {
            byIp.remove(member.ip());
            member.pool().close();
        }
        if (!expired.isEmpty()) {
            rebuildServiceIndex();
        }
    }

    private void rebuildServiceIndex() {
        byService.clear();
        for (Member member : byIp.values()) {
            if (member.acceptsRequests()) {
                byService
                        .computeIfAbsent(member.state().service(), s -> new ArrayList<>())
                        .add(member);
            }
        }
    }
}
