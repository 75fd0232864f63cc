package org.berylwick.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;

/**
 * Decides which nodes of an availability zone read the store for the others. Each node decides for itself, from the
 * states of the others; for a moment there may be more or fewer readers. Confined to the event loop.
 */
final class StoreReaders {
    /** Number of nodes in each availability zone that watch the store; the second covers for the loss of the first. */
    private static final int READERS_PER_ZONE = 2;

    private final NodeSettings settings;
    private final MemberTable members;
    private final LongSupplier silenceTimeoutNanos;
    private final BooleanSupplier ownEligible;

    /**
     * @param settings settings of this node
     * @param members the other nodes
     * @param silenceTimeoutNanos time without a datagram after which a node of this zone counts as silent
     * @param ownEligible whether this node is not leaving
     */
    StoreReaders(
            NodeSettings settings, MemberTable members, LongSupplier silenceTimeoutNanos, BooleanSupplier ownEligible) {
        this.settings = settings;
        this.members = members;
        this.silenceTimeoutNanos = silenceTimeoutNanos;
        this.ownEligible = ownEligible;
    }

    /** Returns whether fewer than {@link #READERS_PER_ZONE} eligible nodes of this zone precede this one as readers. */
    boolean isReader() {
        long now = System.nanoTime();
        long timeoutNanos = silenceTimeoutNanos.getAsLong();
        int precedingReaders = 0;
        for (Member member : members.all()) {
            NodeState state = member.state();
            boolean eligible = state.zone().equals(settings.zone())
                    && state.storeReachable()
                    && !state.leaving()
                    && now - member.lastDatagramAt() < timeoutNanos;
            if (eligible && precedes(member)) {
                precedingReaders++;
            }
        }
        return precedingReaders < READERS_PER_ZONE;
    }

    /**
     * Returns the addresses of the nodes with the highest bandwidth of each zone, as many as there are readers, whether
     * or not the store answers them. An outage of the store that comes and goes does not change them.
     */
    List<String> widestNodes() {
        long now = System.nanoTime();
        long timeoutNanos = silenceTimeoutNanos.getAsLong();
        Map<String, List<Candidate>> byZone = new TreeMap<>();
        if (ownEligible.getAsBoolean()) {
            byZone.computeIfAbsent(settings.zone(), zone -> new ArrayList<>())
                    .add(new Candidate(settings.ip(), linkMbps()));
        }
        for (Member member : members.all()) {
            NodeState state = member.state();
            if (!state.leaving() && now - member.lastDatagramAt() < timeoutNanos) {
                byZone.computeIfAbsent(state.zone(), zone -> new ArrayList<>())
                        .add(new Candidate(member.ip(), state.linkMbps()));
            }
        }
        return byZone.values().stream()
                .flatMap(zone -> zone.stream().sorted(Candidate.ORDER).limit(READERS_PER_ZONE))
                .map(Candidate::ip)
                .toList();
    }

    /** A node that may be a reader. */
    private record Candidate(String ip, int linkMbps) {
        private static final Comparator<Candidate> ORDER =
                Comparator.comparingInt(Candidate::linkMbps).reversed().thenComparing(Candidate::ip);
    }

    /**
     * Returns whether another node precedes this one as a store reader. The link bandwidth decides first, as a reader
     * downloads every version completely and passes it on, then the address.
     */
    private boolean precedes(Member member) {
        int linkComparison = Integer.compare(member.state().linkMbps(), linkMbps());
        return linkComparison > 0 || linkComparison == 0 && member.ip().compareTo(settings.ip()) < 0;
    }

    /** Returns the bandwidth of this VM's network link as other nodes are told of it, in Mbit/s. */
    int linkMbps() {
        return (int) Math.max(1, Math.min(NodeState.MAX_LINK_MBPS, Math.round(settings.linkMbps())));
    }
}
