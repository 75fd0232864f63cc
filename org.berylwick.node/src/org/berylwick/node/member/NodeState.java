package org.berylwick.node.member;

import java.util.List;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * What a node says of itself.
 *
 * @param boot differs between two starts of the node
 * @param sequence increases with each change it tells
 * @param zone availability zone
 * @param linkMbps bandwidth of its VM's link, {@link #MOST_LINK_MBPS} at most
 * @param version the configuration version in force there, 0 for none
 * @param storeReached whether its last calls to the platform's store were answered
 * @param leaving whether it was told to stop
 * @param service of its backend server
 * @param incarnation of its backend server
 * @param backend whether its backend server takes work
 * @param warmUpNanos how much longer its backend server is slow
 * @param load of its backend server
 * @param times of its backend server for each kind of request that it has seen
 */
public record NodeState(
        long boot,
        long sequence,
        String zone,
        int linkMbps,
        long version,
        boolean storeReached,
        boolean leaving,
        String service,
        String incarnation,
        BackendState backend,
        long warmUpNanos,
        OwnerLoad load,
        List<ServiceTimeDistribution> times) {
    /** Wider links are told as this wide. */
    public static final int MOST_LINK_MBPS = 65_535;

    public NodeState {
        times = List.copyOf(times);
    }
}
