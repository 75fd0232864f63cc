package org.berylwick.node.lib;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a node is told at its start.
 *
 * @param name of the VM
 * @param ip of the VM, for callers, other nodes and the backend server
 * @param zone availability zone of the VM
 * @param region of the availability zone
 * @param service of the backend server beside the node, empty if there is none
 * @param backendAddress where the backend server listens
 * @param callerAddress where callers on this VM send their requests
 * @param peerAddress where other nodes send theirs
 * @param readinessAddress where the platform asks whether the node is ready
 * @param heartbeatAddress where the backend server announces itself
 * @param gossipPort UDP port on every VM, for membership
 * @param metricsPort TCP port on this VM, for counters
 * @param seeds addresses of nodes that may be alive
 * @param storeAddress the platform's store
 * @param heartbeatNanos between two heartbeats of a backend server
 * @param cpuShare of one core
 * @param memoryMb the process may use at most
 * @param linkMbps bandwidth of the VM's link
 * @param bounds what must hold
 */
public record NodeSettings(
        String name,
        String ip,
        String zone,
        String region,
        String service,
        InetSocketAddress backendAddress,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress heartbeatAddress,
        int gossipPort,
        int metricsPort,
        List<InetSocketAddress> seeds,
        InetSocketAddress storeAddress,
        long heartbeatNanos,
        double cpuShare,
        int memoryMb,
        double linkMbps,
        PlatformBounds bounds) {
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
