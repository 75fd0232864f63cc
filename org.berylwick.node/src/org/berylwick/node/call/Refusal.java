package org.berylwick.node.call;

import org.berylwick.node.lib.OwnerLoad;

/**
 * An attempt that was not run and will not be.
 *
 * @param reason why
 * @param rejectedByBackend whether the backend server itself was sent the request and turned it away
 * @param load of the owner
 */
public record Refusal(Reason reason, boolean rejectedByBackend, OwnerLoad load) {
    /** Why an attempt was not run. */
    public enum Reason {
        /** The owner has no backend server of that service that takes work. */
        NOT_HERE,
        /** The owner was told to stop. */
        LEAVING,
        /** A slot would not be free in time. */
        BUSY,
        /** The deadline passed before a slot was free. */
        EXPIRED,
        /** No connection could be opened. */
        UNREACHABLE,
        /** The backend server said that it did not run it. */
        TURNED_AWAY,
        /** Nobody waits any more. */
        CANCELLED;

        private static final Reason[] VALUES = values();

        static Reason fromName(String name) {
            for (Reason reason : VALUES) {
                if (reason.name().equals(name)) {
                    return reason;
                }
            }
            return BUSY;
        }
    }
}
