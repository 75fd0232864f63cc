package org.berylwick.node.call;

import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.member.Member;

/**
 * A node that may run a request.
 *
 * @param member the other node, empty for this one
 * @param load of its backend server, with what is known to be on its way there
 * @param serviceTimes of its backend server, for each kind that it has seen
 * @param pendingRequests requests there now
 * @param warmUpNanos how much longer its backend server is slow
 * @param link that leads to its VM
 * @param distance to it
 * @param neverUsed whether this node never sent it a request
 * @param suspect whether calls to it failed a short time ago, or it fell silent
 */
public record Candidate(
        Optional<Member> member,
        OwnerLoad load,
        List<ServiceTimeDistribution> serviceTimes,
        int pendingRequests,
        long warmUpNanos,
        LinkLoad link,
        Distance distance,
        boolean neverUsed,
        boolean suspect) {
    /** Key of this node. */
    public static final String SELF_KEY = "";

    /** How far away a node is. */
    public enum Distance {
        /** This node. */
        SELF,
        /** In this availability zone. */
        SAME_ZONE,
        /** In another availability zone of this region. */
        SAME_REGION,
        /** In another region. */
        OTHER_REGION
    }

    /** The VM's address, empty for this one. */
    public String key() {
        return member.map(Member::ip).orElse(SELF_KEY);
    }
}
