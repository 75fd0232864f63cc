package org.berylwick.transport;

import java.util.Optional;

/**
 * One call of the object API, as a {@link StoreInterceptor} sees it.
 *
 * @param operation which method
 * @param path the object's key, or the prefix of a list or watch
 * @param write what a put or delete carries, empty for the others
 */
public record StoreCall(Operation operation, String path, Optional<Write> write) {
    /**
     * What a put or delete carries.
     *
     * @param value empty for a delete
     */
    public record Write(byte[] value, Precondition precondition) {}

    /** The methods of the object API. */
    public enum Operation {
        /** Reads one object. */
        GET,
        /** Reads all objects under a prefix. */
        LIST,
        /** Writes one object. */
        PUT,
        /** Deletes one object. */
        DELETE,
        /** Waits for a change under a prefix. */
        WATCH
    }

    /** Tells whether the call changes an object. */
    public boolean isWrite() {
        return write.isPresent();
    }
}
