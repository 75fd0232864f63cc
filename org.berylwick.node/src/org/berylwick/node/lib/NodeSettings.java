package org.berylwick.node.lib;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings that a node reads when it starts.
 *
 * @param vmName name of the VM
 * @param ip IP address of the VM, used by callers, other nodes and the backend server
 * @param zone availability zone of the VM
 * @param region region of the availability zone
 * @param service service of the backend server on this VM, empty if there is none
 * @param backendAddress address of the backend server
 * @param callerAddress listening address for callers on this VM
 * @param peerAddress listening address for requests from other nodes
 * @param readinessAddress listening address for readiness checks of the platform
 * @param heartbeatAddress listening address for heartbeats of the backend server
 * @param gossipPort UDP port of the membership gossip, the same on every VM
 * @param metricsPort TCP port of this VM on which metrics are served
 * @param seeds addresses of nodes to contact first, not all of which need be alive
 * @param storeAddress address of the platform's store, which holds the configuration and the node directory
 * @param heartbeatNanos interval between heartbeats of a backend server
 * @param cpuShare fraction of one core that the node may use
 * @param memoryMb maximum memory of the process in MB
 * @param linkMbps bandwidth of the VM's network link in Mbit/s
 * @param bounds limits that the platform guarantees or requires
 * @param hedgeShare extra requests that may be sent per request because it is slow, 0 for none
 */
public record NodeSettings(
        String vmName,
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
        PlatformBounds bounds,
        double hedgeShare) {
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /** Creates the settings of a node that sends no extra requests. */
    public NodeSettings(
            String vmName,
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
        this(
                vmName,
                ip,
                zone,
                region,
                service,
                backendAddress,
                callerAddress,
                peerAddress,
                readinessAddress,
                heartbeatAddress,
                gossipPort,
                metricsPort,
                seeds,
                storeAddress,
                heartbeatNanos,
                cpuShare,
                memoryMb,
                linkMbps,
                bounds,
                0);
    }

    /** Returns these settings with another share of extra requests. */
    public NodeSettings withHedgeShare(double share) {
        return new NodeSettings(
                vmName,
                ip,
                zone,
                region,
                service,
                backendAddress,
                callerAddress,
                peerAddress,
                readinessAddress,
                heartbeatAddress,
                gossipPort,
                metricsPort,
                seeds,
                storeAddress,
                heartbeatNanos,
                cpuShare,
                memoryMb,
                linkMbps,
                bounds,
                share);
    }
}
