package org.berylwick.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.junit.jupiter.api.Test;

/** Tests the graph formed by the streams that daemons choose to open. */
class PeerChooserTest {
    private static Member member(int i, int zones) {
        int zone = i % zones;
        return new Member(
                "daemon-" + i,
                "web",
                HostPort.fromString("10.0.0.1:" + (i + 1)),
                new Place("region-" + zone / 2, "zone-" + zone),
                Labels.EMPTY,
                Member.State.UP,
                1,
                12,
                0,
                0);
    }

    private static List<Member> members(int count, int zones) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i, zones));
        }
        return members;
    }

    /** Returns the hop count from the first member to the farthest one, or -1 if some member cannot be reached. */
    private static int eccentricity(List<Member> members, int fanOut) {
        Map<String, Set<String>> edges = new HashMap<>();
        members.forEach(m -> edges.put(m.instance(), new HashSet<>()));
        for (Member m : members) {
            for (Member p : PeerChooser.choose(m, members, fanOut)) {
                edges.get(m.instance()).add(p.instance());
                edges.get(p.instance()).add(m.instance());
            }
        }
        Map<String, Integer> distances = new HashMap<>();
        Deque<String> queue = new ArrayDeque<>();
        distances.put(members.getFirst().instance(), 0);
        queue.add(members.getFirst().instance());
        int maxDistance = 0;
        while (!queue.isEmpty()) {
            String current = queue.poll();
            maxDistance = Math.max(maxDistance, distances.get(current));
            for (String neighbor : edges.get(current)) {
                if (distances.putIfAbsent(neighbor, distances.get(current) + 1) == null) {
                    queue.add(neighbor);
                }
            }
        }
        return distances.size() == members.size() ? maxDistance : -1;
    }

    @Property(seed = "5", tries = 100)
    void graphIsConnectedAndEachMemberOpensFanOutStreams(
            @ForAll @IntRange(min = 1, max = 60) int count,
            @ForAll @IntRange(min = 1, max = 6) int zones,
            @ForAll @IntRange(min = 1, max = 5) int fanOut) {
        List<Member> members = members(count, zones);
        assertTrue(eccentricity(members, fanOut) >= 0);
        for (Member m : members) {
            List<Member> chosen = PeerChooser.choose(m, members, fanOut);
            assertEquals(Math.min(fanOut, count - 1), chosen.size());
            assertTrue(chosen.stream().noneMatch(c -> c.instance().equals(m.instance())));
        }
    }

    @Test
    void eccentricityOf480MembersIsAtMostSeven() {
        int eccentricity = eccentricity(members(480, 6), 3);
        assertTrue(eccentricity > 0 && eccentricity <= 7, "eccentricity " + eccentricity);
    }

    @Test
    void suspectLeavingAndGoneMembersAreNotChosen() {
        List<Member> members = members(6, 2);
        members.set(1, members.get(1).withState(Member.State.SUSPECT));
        members.set(2, members.get(2).withState(Member.State.LEAVING));
        members.set(3, members.get(3).withState(Member.State.GONE));
        List<String> chosen = PeerChooser.choose(members.getFirst(), members, 5).stream()
                .map(Member::instance)
                .sorted()
                .toList();
        assertEquals(List.of("daemon-4", "daemon-5"), chosen);
    }
}
