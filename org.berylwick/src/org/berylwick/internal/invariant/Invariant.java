package org.berylwick.internal.invariant;

/** The points that must always hold; {@code docs/PROOFS.md} tells for each what guards and what tries it. */
public enum Invariant {
    /** The version in force never gets older. */
    VERSION_NEVER_REVERTS,
    /** Every route in force points at a service in force. */
    NO_DANGLING_ROUTE,
    /** A version in force is the whole of what was accepted. */
    VERSION_WHOLE,
    /** A caller gets the answer to its own request, and knows if it is cut short. */
    OWN_WHOLE_ANSWER,
    /** A request that was refused as not run was never sent to the backend server. */
    REFUSAL_TRUE,
    /** A non-idempotent request is sent to a backend server at most once. */
    AT_MOST_ONCE,
    /** A backend server that is leaving is given no new work. */
    NO_WORK_AFTER_LEAVE,
    /** A planned stop cuts no request. */
    GRACEFUL_STOP,
    /** Slots in use never exceed those that the backend server has. */
    SLOTS_EXACT,
    /** A version that was accepted is never replaced by one that does not follow it. */
    ACCEPTED_STAYS
}
