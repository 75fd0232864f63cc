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
    private static final long FORGET_NANOS = 60_000_000_000L;

    private final Map<String, Member> byIp = new HashMap<>();
    private final Map<String, List<Member>> byService = new HashMap<>();
    private final Function<String, ConnectionPool> connector;
    private final BiConsumer<Member, String> onSuspected;

    /**
     * @param connector opens a pool to a node's address
     * @param onSuspected hears of a node to which a call failed, and why
     */
    public MemberTable(Function<String, ConnectionPool> connector, BiConsumer<Member, String> onSuspected) {
        this.connector = connector;
        this.onSuspected = onSuspected;
    }

    /** What a datagram changed. */
    public enum Hearing {
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
    public Hearing hear(String ip, NodeState state, long now) {
        Member member = byIp.get(ip);
        if (member == null) {
            Member fresh = new Member(ip, state, now, onSuspected);
            fresh.use(connector.apply(ip));
            byIp.put(ip, fresh);
            index();
            return Hearing.NEW;
        }
        NodeState known = member.state();
        if (known.boot() == state.boot() && known.sequence() > state.sequence()) {
            return Hearing.STALE;
        }
        boolean changed = known.boot() != state.boot()
                || known.backend() != state.backend()
                || known.leaving() != state.leaving()
                || !known.service().equals(state.service())
                || !known.incarnation().equals(state.incarnation());
        member.hear(state, now);
        if (changed) {
            index();
        }
        return changed ? Hearing.CHANGED : Hearing.SAME;
    }

    /** Nodes whose backend server serves a service and takes work, as last heard. */
    public List<Member> takingWork(String service) {
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
            if (now - member.heardAt() <= spanNanos) {
                count++;
            }
        }
        return count;
    }

    /** Tells what waits for nodes that fell silent. */
    public void tellSilent(long spanNanos, long now) {
        for (Member member : List.copyOf(byIp.values())) {
            member.tellIfSilent(spanNanos, now);
        }
    }

    /** Forgets nodes that were not heard for a long time and closes idle connections. */
    public void tidy(long now) {
        List<Member> lost = new ArrayList<>();
        for (Member member : byIp.values()) {
            member.pool().evictIdle();
            if (now - member.heardAt() > FORGET_NANOS) {
                lost.add(member);
            }
        }
        for (Member member : lost) {
            byIp.remove(member.ip());
            member.pool().close();
        }
        if (!lost.isEmpty()) {
            index();
        }
    }

    private void index() {
        byService.clear();
        for (Member member : byIp.values()) {
            if (member.takesWork()) {
                byService
                        .computeIfAbsent(member.state().service(), s -> new ArrayList<>())
                        .add(member);
            }
        }
    }
}
