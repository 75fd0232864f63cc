package org.berylwick.node.lib;

import java.net.InetSocketAddress;

/**
 * The decoded heartbeat or health status of a backend server.
 *
 * @param incarnation the start of the backend server that it comes from
 * @param service name of the service that the backend server provides
 * @param address address on which it accepts requests
 * @param zone its availability zone
 * @param slots number of requests it runs concurrently
 * @param state whether it accepts requests
 * @param sequence sequence number, increasing with each report of an incarnation
 * @param warmUpNanos remaining duration of its slow phase after the start
 * @param softwareVersion version of its software, empty if it is unknown
 */
public record BackendReport(
        Incarnation incarnation,
        String service,
        InetSocketAddress address,
        String zone,
        int slots,
        BackendState state,
        long sequence,
        long warmUpNanos,
        String softwareVersion) {
    /** Creates the report of a backend server that states neither its start nor its version. */
    public BackendReport(
            String incarnation,
            String service,
            InetSocketAddress address,
            String zone,
            int slots,
            BackendState state,
            long sequence,
            long warmUpNanos) {
        this(Incarnation.of(incarnation), service, address, zone, slots, state, sequence, warmUpNanos, "");
    }
}
