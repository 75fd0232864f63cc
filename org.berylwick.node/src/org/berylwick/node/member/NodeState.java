package org.berylwick.node.member;

import java.util.List;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.KindTime;
import org.berylwick.node.lib.OwnerLoad;

/**
 * What a node says of itself.
 *
 * @param bootId differs between two starts of the node
 * @param sequence increases with each change it tells
 * @param zone availability zone
 * @param linkMbps bandwidth of its VM's link, {@link #MAX_LINK_MBPS} at most
 * @param version the configuration version in force there, 0 for none
 * @param storeReachable whether its last calls to the platform's store were answered
 * @param leaving whether it was told to stop
 * @param service of its backend server
 * @param incarnation of its backend server
 * @param backendState whether its backend server takes work
 * @param warmUpRemainingNanos how much longer its backend server is slow
 * @param load of its backend server
 * @param requestTimes of its backend server for each kind of request that it has seen
 */
public record NodeState(
        long bootId,
        long sequence,
        String zone,
        int linkMbps,
        long version,
        boolean storeReachable,
        boolean leaving,
        String service,
        String incarnation,
        BackendState backendState,
        long warmUpRemainingNanos,
        OwnerLoad load,
        List<KindTime> requestTimes) {
    /** Wider links are told as this wide. */
    public static final int MAX_LINK_MBPS = 65_535;

    public NodeState {
        requestTimes = List.copyOf(requestTimes);
    }
}
