package org.berylwick.internal.routing;

/** Names of the metrics about choosing members. */
final class ChoiceMetrics {
    /** Counter: requests by distance of the chosen member; the distance is appended to the name. */
    static final String CHOSEN = "choice.chosen.";

    /** Counter: requests sent to a member on probation as a probe. */
    static final String PROBES = "choice.probes";

    /** Counter: requests sent to an ejected or suspect member because no other was available. */
    static final String LAST_RESORT = "choice.last-resort";

    /** Counter: members ejected. */
    static final String EJECTIONS = "choice.ejections";

    /** Counter: members readmitted after an ejection. */
    static final String READMISSIONS = "choice.returns";

    private ChoiceMetrics() {}
}
