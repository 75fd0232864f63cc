package org.berylwick.node.rollout;

/** Which requests the backend servers of a version get. */
public enum Standing {
    /** All kinds of requests. */
    ESTABLISHED,
    /** A small share of the requests, as the version may be bad. */
    IN_DOUBT,
    /** None. */
    EXCLUDED
}
