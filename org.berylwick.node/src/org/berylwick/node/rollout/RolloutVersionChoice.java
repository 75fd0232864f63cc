package org.berylwick.node.rollout;

import org.berylwick.node.call.VersionChoice;

/**
 * The versions that roll-outs allow. Each node sends a version in doubt the same share of its requests, so that its
 * share of all requests needs no agreement.
 *
 * @param rollouts the roll-outs that the node takes part in
 * @param exposureShare largest share of the requests that a bad version may get
 */
public record RolloutVersionChoice(RolloutController rollouts, double exposureShare) implements VersionChoice {
    /** The rest of the share is for requests that a bad version gets while it takes over, until all nodes know. */
    private static final double TRIAL_PART_OF_SHARE = 0.6;

    @Override
    public boolean isActive(String service) {
        return rollouts.isActive(service);
    }

    @Override
    public boolean isTrial(String service, double random) {
        return random < rollouts.shareInDoubt(service, TRIAL_PART_OF_SHARE * exposureShare);
    }

    @Override
    public boolean isInDoubt(String service, String version) {
        return rollouts.standingOf(service, version) == Standing.IN_DOUBT;
    }

    @Override
    public boolean isEstablished(String service, String version) {
        return rollouts.standingOf(service, version) == Standing.ESTABLISHED;
    }
}
