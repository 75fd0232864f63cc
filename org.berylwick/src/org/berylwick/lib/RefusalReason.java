package org.berylwick.lib;

import java.util.Locale;
import java.util.Optional;

/** Why a request was refused without being run. */
public enum RefusalReason {
    /** The daemon beside the backend server could not be connected to. */
    DAEMON_UNREACHABLE,
    /** The backend server could not be connected to. */
    SERVER_UNREACHABLE,
    /** All slots taken and the queue full or too slow for the deadline. */
    OVERLOADED,
    /** The backend server shed the request and said it was not run. */
    SHED,
    /** The backend server or its daemon is leaving. */
    LEAVING,
    /** The backend server is not ready yet. */
    STARTING,
    /** No route matches, and a newer configuration version, which may have one, is not in force here yet. */
    OUTDATED,
    /** The deadline passed before the request was sent to the backend server. */
    DEADLINE,
    /** No member of the service can take the request. */
    NO_MEMBER,
    /** Backend servers ended while they ran the request; it is not sent on for a while. */
    QUARANTINED,
    /** The platform's store, which decides who runs a request with an idempotency key, did not decide. */
    STORE_UNAVAILABLE;

    /** The word on the wire: lower case with hyphens. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads {@link #word()}. */
    public static Optional<RefusalReason> fromWord(String word) {
        for (RefusalReason r : values()) {
            if (r.word().equals(word)) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }
}
