package org.berylwick.transport;

/**
 * One call of the object API, as a {@link StoreInterceptor} sees it.
 *
 * @param operation which method
 * @param path the object's key, or the prefix of a list or watch
 */
public record StoreCall(Operation operation, String path) {
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
        return operation == Operation.PUT || operation == Operation.DELETE;
    }
}
