package org.berylwick.internal.routing;

/** Names of the metrics about the choice of members. */
final class ChoiceMetrics {
    /** Counter: requests by distance of the chosen member; the distance follows. */
    static final String CHOSEN = "choice.chosen.";

    /** Counter: requests sent to a member on probation. */
    static final String PROBES = "choice.probes";

    /** Counter: requests sent to an ejected or suspect member, as no other was left. */
    static final String LAST_RESORT = "choice.last-resort";

    /** Counter: members ejected. */
    static final String EJECTIONS = "choice.ejections";

    /** Counter: members that came back after an ejection. */
    static final String RETURNS = "choice.returns";

    private ChoiceMetrics() {}
}
