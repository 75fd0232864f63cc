package org.berylwick.node.rollout;

import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;
import org.berylwick.node.lib.VersionTally;

/** Decides the next phase of a roll-out from what a node knows of the fleet. */
public final class RolloutProgress {
    /** Least slots of the new version, as a share of those of the old ones, to take over all requests. */
    private static final double MIN_SLOT_SHARE = 0.8;

    private RolloutProgress() {}

    /**
     * What a node knows of the backend servers of a service.
     *
     * @param target responses of the version that is rolled out
     * @param others responses of the other versions
     * @param targetSlots slots of its backend servers that accept requests
     * @param otherSlots slots of the others
     * @param othersIdle whether the owners of all others refuse requests for this roll-out, and run none
     */
    public record Fleet(
            VersionTally target, VersionTally others, long targetSlots, long otherSlots, boolean othersIdle) {}

    /** A phase, and the reason for it. */
    public record Step(RolloutPhase phase, String reason) {}

    /** Returns the next phase, or the current one if nothing changes. */
    public static Step next(RolloutState state, Fleet fleet, long now) {
        Step unchanged = new Step(state.phase(), "");
        if (!state.phase().isUnderWay()) {
            return unchanged;
        }
        RolloutJudge.Verdict verdict = RolloutJudge.judge(fleet.target(), fleet.others());
        if (verdict instanceof RolloutJudge.Verdict.Bad bad) {
            return new Step(RolloutPhase.CONDEMNED, bad.reason());
        }
        return switch (state.phase()) {
            case TRIAL -> {
                boolean hasRoom = fleet.targetSlots() >= MIN_SLOT_SHARE * fleet.otherSlots();
                yield now >= state.rampAt() && hasRoom && verdict instanceof RolloutJudge.Verdict.Good
                        ? new Step(RolloutPhase.RAMP, "responses are as good as those of the others")
                        : unchanged;
            }
            case RAMP -> now >= state.shiftAt() ? new Step(RolloutPhase.SHIFT, "it gets all requests") : unchanged;
            // The old backend servers are stopped at once when the roll-out is complete.
            default ->
                fleet.othersIdle() && now >= state.provedAt()
                        ? new Step(RolloutPhase.COMPLETE, "no other version runs a request")
                        : unchanged;
        };
    }
}
