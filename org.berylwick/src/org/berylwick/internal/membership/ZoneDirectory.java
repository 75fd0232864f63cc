package org.berylwick.internal.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;

/**
 * The daemons of one availability zone as its readers keep them in the store, so that a newcomer finds peers.
 *
 * @param addresses where they take calls of other daemons, sorted
 */
public record ZoneDirectory(List<HostPort> addresses) {
    /** Copies the list. */
    public ZoneDirectory {
        addresses = List.copyOf(addresses);
    }

    /** The live members of one zone. */
    public static ZoneDirectory of(MembershipView view, Place place) {
        Set<String> sorted = new TreeSet<>();
        for (Member member : view.all()) {
            boolean live = member.state() == Member.State.STARTING || member.state() == Member.State.UP;
            if (live && member.place().equals(place)) {
                sorted.add(member.address().toString());
            }
        }
        return new ZoneDirectory(sorted.stream().map(HostPort::fromString).toList());
    }
}
