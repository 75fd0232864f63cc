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
     * @param connector opens a pool to a node's address
     * @param onSuspected hears of a node to which a call failed, and why
     */
    public MemberTable(Function<String, ConnectionPool> connector, BiConsumer<Member, String> onSuspected) {
        this.poolFactory = connector;
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
            Member fresh = new Member(ip, state, now, onSuspected);
            fresh.setPool(poolFactory.apply(ip));
            byIp.put(ip, fresh);
            rebuildServiceIndex();
            return UpdateResult.NEW;
        }
        NodeState known = member.state();
        if (known.bootId() == state.bootId() && known.sequence() > state.sequence()) {
            return UpdateResult.STALE;
        }
        boolean changed = known.bootId() != state.bootId()
                || known.backendState() != state.backendState()
                || known.leaving() != state.leaving()
                || !known.service().equals(state.service())
                || !known.incarnation().equals(state.incarnation());
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
    public void notifySilent(long spanNanos, long now) {
        for (Member member : List.copyOf(byIp.values())) {
            member.notifyIfSilent(spanNanos, now);
        }
    }

    /** Forgets nodes that were not heard for a long time and closes idle connections. */
    public void removeExpired(long now) {
        List<Member> lost = new ArrayList<>();
        for (Member member : byIp.values()) {
            member.pool().trim();
            if (now - member.lastHeardAt() > EXPIRY_NANOS) {
                lost.add(member);
            }
        }
        for (Member member : lost) {
            byIp.remove(member.ip());
            member.pool().close();
        }
        if (!lost.isEmpty()) {
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
