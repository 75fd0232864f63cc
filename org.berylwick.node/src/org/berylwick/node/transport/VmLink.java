package org.berylwick.node.transport;

import org.berylwick.node.lib.Clock;

/**
 * The link of this VM, both ways.
 *
 * @param incoming what comes over it
 * @param outgoing what leaves over it
 */
public record VmLink(IncomingLink incoming, OutgoingLink outgoing) {
    /**
     * A link.
     *
     * @param mbps width each way in Mbit/s, 0 if it is not known
     * @param clock all runs where its tasks do
     */
    public static VmLink of(double mbps, Clock clock) {
        return new VmLink(new IncomingLink(mbps), new OutgoingLink(mbps, clock));
    }
}
