package org.berylwick.node.lib;

import java.util.List;

/**
 * What a node tells the others about roll-outs.
 *
 * @param softwareVersion version of the software of its backend server, empty if it is unknown or of no interest
 * @param tally responses of its backend server since the roll-out of its service began
 * @param states the roll-outs that the node knows of
 */
public record RolloutNotice(String softwareVersion, VersionTally tally, List<RolloutState> states) {
    /** Nothing is known. */
    public static final RolloutNotice NONE = new RolloutNotice("", VersionTally.NONE, List.of());

    public RolloutNotice {
        states = List.copyOf(states);
    }
}
