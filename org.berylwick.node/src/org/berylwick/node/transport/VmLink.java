package org.berylwick.node.transport;

import org.berylwick.node.lib.Clock;

/**
 * The network link of this VM, in both directions.
 *
 * @param incoming request bodies that arrive over it
 * @param outgoing responses that leave over it
 */
public record VmLink(IncomingLink incoming, OutgoingLink outgoing) {
    /**
     * Creates an idle link.
     *
     * @param mbps bandwidth in each direction in Mbit/s, 0 if unknown
     * @param clock schedules the writes of the outgoing link
     */
    public static VmLink of(double mbps, Clock clock) {
        return new VmLink(new IncomingLink(mbps), new OutgoingLink(mbps, clock));
    }
}
