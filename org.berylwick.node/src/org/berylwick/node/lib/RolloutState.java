package org.berylwick.node.lib;

/**
 * What is known of one version of a service that is, or may be, rolled out.
 *
 * @param service name of the service
 * @param version version of the software of the backend servers
 * @param order number of the operator's order, derived from its store revision; without one, the revision that has none
 * @param phase how far the roll-out has got
 * @param rampAt when the version begins to take over from the others if it is good, in {@link System#nanoTime} terms
 * @param deadlineAt when the operator wants the roll-out to be complete, in the same terms
 */
public record RolloutState(
        String service, String version, long order, RolloutPhase phase, long rampAt, long deadlineAt) {
    /** Parts of the time between {@link #rampAt} and {@link #deadlineAt} after which it gets, and has borne, all. */
    private static final double RAMP_PART = 0.4;

    private static final double PROOF_PART = 0.7;

    /** Returns when the version gets all requests. */
    public long shiftAt() {
        return rampAt + (long) (RAMP_PART * (deadlineAt - rampAt));
    }

    /** Returns when the version has borne all requests for long enough. */
    public long provedAt() {
        return rampAt + (long) (PROOF_PART * (deadlineAt - rampAt));
    }

    /**
     * Returns the share of the requests that the version gets during the ramp.
     *
     * @param from share at its begin
     * @param now in {@link System#nanoTime} terms
     */
    public double rampShare(double from, long now) {
        double passed = (double) (now - rampAt) / Math.max(1, shiftAt() - rampAt);
        return from + (1 - from) * Math.max(0, Math.min(1, passed));
    }

    /** Returns this state in another phase. */
    public RolloutState in(RolloutPhase other) {
        return new RolloutState(service, version, order, other, rampAt, deadlineAt);
    }

    /** Returns whether this state replaces another one of the same version. */
    public boolean supersedes(RolloutState other) {
        return order != other.order ? order > other.order : phase.compareTo(other.phase) > 0;
    }
}
