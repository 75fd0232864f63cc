package org.berylwick.node.call;

import org.berylwick.node.lib.OwnerLoad;

/**
 * Result of an attempt that was not run and will not be.
 *
 * @param reason why it was not run
 * @param rejectedByBackend whether the backend server itself received the request and rejected it
 * @param load load of the owner's backend server
 */
public record Refusal(Reason reason, boolean rejectedByBackend, OwnerLoad load) {
    /** Why an attempt was not run. */
    public enum Reason {
        /** The owner has no backend server of the service that accepts requests. */
        NOT_HERE,
        /** The owner's node is stopping. */
        LEAVING,
        /** The request would wait too long for a slot or the link, or the queue is full. */
        BUSY,
        /** The deadline passed, or could not be met, before the request was sent to the backend server. */
        EXPIRED,
        /** No connection could be opened, or it failed before the request was sent completely. */
        UNREACHABLE,
        /** The backend server reported that it did not run the request. */
        TURNED_AWAY,
        /** The request has crashed backend servers, and is run by none for a while. */
        QUARANTINED,
        /** The caller no longer waits for a response. */
        CANCELLED;

        private static final Reason[] VALUES = values();

        /** Returns the reason with the given name, or {@link #BUSY} if the name is unknown. */
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
