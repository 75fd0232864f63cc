package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.berylwick.internal.membership.MemberHash;
import org.berylwick.lib.Member;

/**
 * Chooses the members to which a daemon opens streams.
 *
 * <p>The first peer is the successor on a ring of all members, ordered by region, availability zone and a hash of the
 * instance name. The ring alone keeps the graph connected, and crosses zones only at zone boundaries. The other peers
 * are picked by rendezvous hashing, alternating between members outside the zone, inside it and outside the region.
 * They keep the diameter of the graph logarithmic and connect zones at many points. The choice is deterministic, and a
 * change of one member changes few streams.
 */
public final class PeerChooser {
    private static final Comparator<RingEntry> RING_ORDER = Comparator.<RingEntry, String>comparing(
                    p -> p.member.place().region())
            .thenComparing(p -> p.member.place().availabilityZone())
            .thenComparingLong(RingEntry::hash)
            .thenComparing(p -> p.member.instance());

    private record RingEntry(Member member, long hash) {
        private static RingEntry of(Member member) {
            return new RingEntry(member, MemberHash.ofText(member.instance()));
        }
    }

    private PeerChooser() {}

    /**
     * Returns the members to open streams to.
     *
     * @param self record of the local daemon
     * @param members all known members; suspected, leaving and gone ones are skipped
     * @param fanOut maximum number of members to choose
     */
    public static List<Member> choose(Member self, Collection<Member> members, int fanOut) {
        List<RingEntry> ring = members.stream()
                .filter(m -> !m.instance().equals(self.instance()))
                .filter(m -> m.state() == Member.State.UP || m.state() == Member.State.STARTING)
                .map(RingEntry::of)
                .sorted(RING_ORDER)
                .toList();
        Map<String, Member> chosen = new LinkedHashMap<>();
        if (ring.isEmpty()) {
            return List.of();
        }
        RingEntry selfEntry = RingEntry.of(self);
        Member next = ring.stream()
                .filter(p -> RING_ORDER.compare(p, selfEntry) > 0)
                .findFirst()
                .orElse(ring.getFirst())
                .member();
        List<Member> live = ring.stream().map(RingEntry::member).toList();
        chosen.put(next.instance(), next);
        Predicate<Member> sameZone = m -> m.place().equals(self.place());
        Predicate<Member> sameRegion =
                m -> m.place().region().equals(self.place().region());
        List<Predicate<Member>> preferences = List.of(sameZone.negate(), sameZone, sameRegion.negate(), sameZone);
        for (int i = 0; chosen.size() < Math.min(fanOut, live.size()); i++) {
            Optional<Member> best = highestRanked(self, live, chosen, preferences.get(i % preferences.size()));
            best.or(() -> highestRanked(self, live, chosen, m -> true)).ifPresent(m -> chosen.put(m.instance(), m));
        }
        return new ArrayList<>(chosen.values());
    }

    private static Optional<Member> highestRanked(
            Member self, List<Member> live, Map<String, Member> chosen, Predicate<Member> filter) {
        return live.stream()
                .filter(m -> !chosen.containsKey(m.instance()))
                .filter(filter)
                .max(Comparator.comparingLong(m -> MemberHash.ofText(self.instance() + '>' + m.instance())));
    }
}
