package org.berylwick.node.lib;

/** How far a roll-out has got. Of two states of one roll-out, the one with the later phase is the current one. */
public enum RolloutPhase {
    /** No order names the version: its backend servers are used like all others of their service. */
    NOT_ORDERED,
    /** The version gets a small share of the requests, until its responses show whether it is good. */
    TRIAL,
    /** The version is no worse than the others, and gets more and more of the requests. */
    RAMP,
    /** The version gets all requests; other versions of the service finish those that they run. */
    SHIFT,
    /** The version is bad and gets no more requests; this is not stored yet. */
    CONDEMNED,
    /** The operator is told that the version is bad. */
    ROLLED_BACK,
    /** The operator is told that the service has moved to the version. */
    COMPLETE;

    private static final RolloutPhase[] ALL = values();

    /** Returns the phase with the given ordinal, {@link #TRIAL} for one that this version of the node does not know. */
    public static RolloutPhase fromOrdinal(int ordinal) {
        return ordinal < ALL.length ? ALL[ordinal] : TRIAL;
    }

    /** Whether it is still open how the roll-out ends. */
    public boolean isUnderWay() {
        return this == TRIAL || this == RAMP || this == SHIFT;
    }

    /** Whether the operator was told the outcome, which never changes after that. */
    public boolean isFinal() {
        return this == ROLLED_BACK || this == COMPLETE;
    }
}
