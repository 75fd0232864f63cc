package org.berylwick.internal.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;

/**
 * The addresses of the daemons of one availability zone. The daemons that read the store on behalf of the zone write it
 * there, so that a newly started daemon finds peers.
 *
 * @param addresses the addresses at which the daemons accept calls from other daemons, sorted
 */
public record ZoneDirectory(List<HostPort> addresses) {
    /** Makes a defensive copy of the list. */
    public ZoneDirectory {
        addresses = List.copyOf(addresses);
    }

    /** Creates the directory of the members at {@code place} that are {@code STARTING} or {@code UP}. */
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
