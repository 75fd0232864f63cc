package org.berylwick.node.call;

import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.member.Member;

/**
 * A node whose backend server may run a request.
 *
 * @param member the remote node, empty for this node
 * @param load last known load of its backend server
 * @param serviceTimes service times of its backend server, for each request class that it has processed
 * @param pendingRequests estimated number of requests that are running or queued there now
 * @param limitWaitNanos estimated wait because of the limit on requests that its backend server states, 0 without one
 * @param warmUpNanos remaining duration of the slow phase after the start of its backend server
 * @param link load of the network link of its VM
 * @param distance network distance to the node
 * @param neverUsed whether this node has not sent it a request since its backend server joined
 * @param slowdown how long work takes there at this moment, relative to its service times
 * @param suspect whether calls to it failed recently, or it has been silent for too long
 */
public record Candidate(
        Optional<Member> member,
        OwnerLoad load,
        List<ServiceTimeDistribution> serviceTimes,
        int pendingRequests,
        long limitWaitNanos,
        long warmUpNanos,
        LinkLoad link,
        Distance distance,
        boolean neverUsed,
        Slowdown slowdown,
        boolean suspect) {
    /** Creates a candidate whose backend server does not state its current speed. */
    Candidate(
            Optional<Member> member,
            OwnerLoad load,
            List<ServiceTimeDistribution> serviceTimes,
            int pendingRequests,
            long limitWaitNanos,
            long warmUpNanos,
            LinkLoad link,
            Distance distance,
            boolean neverUsed,
            boolean suspect) {
        this(
                member,
                load,
                serviceTimes,
                pendingRequests,
                limitWaitNanos,
                warmUpNanos,
                link,
                distance,
                neverUsed,
                Slowdown.NONE,
                suspect);
    }

    /** Key of the local node. */
    public static final String SELF_KEY = "";

    /** Network distance from the local node. */
    public enum Distance {
        /** The local node. */
        SELF,
        /** A node in the same availability zone. */
        SAME_ZONE,
        /** A node in another availability zone of the same region. */
        SAME_REGION,
        /** A node in another region. */
        OTHER_REGION
    }

    /** Returns whether backend servers make the requests of a class, according to the owner of any candidate. */
    static boolean anyReceivesCalls(List<Candidate> candidates, RequestClass requestClass) {
        for (Candidate candidate : candidates) {
            if (candidate.receivesCalls(requestClass)) {
                return true;
            }
        }
        return false;
    }

    private boolean receivesCalls(RequestClass requestClass) {
        for (ServiceTimeDistribution time : serviceTimes) {
            if (time.calls() && time.requestClass().equals(requestClass)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the measured service time of a request class there, empty if it was not measured. */
    Optional<ServiceTimeDistribution> serviceTime(RequestClass requestClass) {
        for (ServiceTimeDistribution time : serviceTimes) {
            if (time.requestClass().equals(requestClass)) {
                return Optional.of(time);
            }
        }
        return Optional.empty();
    }

    /** Returns how long one more request would wait there for a slot and the limit. */
    public long waitNanos() {
        return Math.max(limitWaitNanos, slowdown.expectedNanos(load.waitNanos(pendingRequests)));
    }

    /** Returns the IP address of the VM, or {@link #SELF_KEY} for the local node. */
    public String key() {
        return member.map(Member::ip).orElse(SELF_KEY);
    }
}
