package org.berylwick.node.member;

import java.util.List;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.lib.ServiceTimeDistribution;

/**
 * The state that a node sends to other nodes about itself and the backend server on its VM.
 *
 * @param bootId identifies one run of the node process; differs after a restart
 * @param sequence increases with each state that the node sends during one run
 * @param zone availability zone
 * @param linkMbps bandwidth of the network link of the node's VM in Mbit/s, at most {@link #MAX_LINK_MBPS}
 * @param version number of the configuration version in force on the node, 0 for none
 * @param storeReachable whether the platform's store answered its latest call
 * @param leaving whether the node is shutting down and should get no more requests from other nodes
 * @param service name of the service that its backend server provides
 * @param incarnation identifies one run of its backend server
 * @param backendState whether its backend server accepts requests
 * @param warmUpRemainingNanos how much longer its backend server responds slowly after its start
 * @param load load of its backend server
 * @param serviceTimes service times measured at its backend server, one entry per request class seen so far
 * @param rollout what the node knows of roll-outs
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
        List<ServiceTimeDistribution> serviceTimes,
        RolloutNotice rollout) {
    /** Largest bandwidth that fits the encoded field; faster links are sent as this value. */
    public static final int MAX_LINK_MBPS = 65_535;

    public NodeState {
        serviceTimes = List.copyOf(serviceTimes);
    }

    /** Creates the state of a node that knows of no roll-outs. */
    public NodeState(
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
            List<ServiceTimeDistribution> serviceTimes) {
        this(
                bootId,
                sequence,
                zone,
                linkMbps,
                version,
                storeReachable,
                leaving,
                service,
                incarnation,
                backendState,
                warmUpRemainingNanos,
                load,
                serviceTimes,
                RolloutNotice.NONE);
    }
}
