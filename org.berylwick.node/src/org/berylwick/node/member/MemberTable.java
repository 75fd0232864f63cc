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

/** All nodes that were heard, but this one; confined to the event loop. */
public final class MemberTable {
    /** A node unheard for this long is forgotten with its connections. */
    private static final long EXPIRY_NANOS = 60_000_000_000L;

    private final Map<String, Member> byIp = new HashMap<>();
    private final Map<String, List<Member>> byService = new HashMap<>();
    private final Function<String, ConnectionPool> poolFactory;
    private final BiConsumer<Member, String> onSuspected;

    /**
     * @param poolFactory opens a pool to a node's address
     * @param onSuspected hears of a node to which a call failed, and why
     */
    public MemberTable(Function<String, ConnectionPool> poolFactory, BiConsumer<Member, String> onSuspected) {
        this.poolFactory = poolFactory;
        this.onSuspected = onSuspected;
    }

    /** What a datagram changed. */
    public enum UpdateResult {
        /** A node that was not known. */
        NEW,
        /** It was started anew, or its backend server changed. */
        CHANGED,
        /** Nothing but numbers. */
        SAME,
        /** Older than what is known. */
        STALE
    }

    /** Takes over what a node says of itself. */
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
                || !previous.incarnation().equals(state.incarnation());
        member.update(state, now);
        if (changed) {
            rebuildServiceIndex();
        }
        return changed ? UpdateResult.CHANGED : UpdateResult.SAME;
    }

    /** Nodes whose backend server serves a service and takes work, as last heard. */
    public List<Member> acceptingRequests(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** A node by its address. */
    public Optional<Member> find(String ip) {
        return Optional.ofNullable(byIp.get(ip));
    }

    /** All nodes that were heard. */
    public Collection<Member> all() {
        return byIp.values();
    }

    /** How many nodes were heard within a span. */
    public int countHeardWithin(long spanNanos, long now) {
        int count = 0;
        for (Member member : byIp.values()) {
            if (now - member.lastHeardAt() <= spanNanos) {
                count++;
            }
        }
        return count;
    }

    /** Tells what waits for nodes that fell silent. */
    public void notifySilent(long timeoutNanos, long now) {
        for (Member member : List.copyOf(byIp.values())) {
            member.notifyIfSilent(timeoutNanos, now);
        }
    }

    /** Forgets nodes that were not heard for a long time and closes idle connections. */
    public void removeExpired(long now) {
        List<Member> expired = new ArrayList<>();
        for (Member member : byIp.values()) {
            member.pool().trim();
            if (now - member.lastHeardAt() > EXPIRY_NANOS) {
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
