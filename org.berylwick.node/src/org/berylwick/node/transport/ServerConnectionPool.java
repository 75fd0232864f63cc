package org.berylwick.node.transport;

import java.util.function.Consumer;

/** A pool of connections to one server. */
public interface ServerConnectionPool extends AutoCloseable {
    /**
     * Takes an idle connection or opens a new one.
     *
     * @param idleLimitNanos maximum idle time of a connection that is reused
     * @param onConnection receives the connection
     * @param onFailure receives the cause if there is no connection; nothing has been sent in that case
     */
    void acquire(long idleLimitNanos, Consumer<ServerConnection> onConnection, Consumer<String> onFailure);

    /**
     * Opens a new connection to find out whether a process listens at the server's address. The connection stays in the
     * pool.
     *
     * @param onResult receives the result, at the latest when the time for connecting has passed
     */
    void probe(Consumer<ProbeResult> onResult);

    /** Result of {@link #probe}. */
    enum ProbeResult {
        /** A connection was opened and stayed open for some milliseconds. */
        LISTENING,
        /** The connection was refused: no process listens. */
        REFUSED,
        /** The connection failed in another way, which says nothing about the process. */
        UNKNOWN
    }

    /** Returns how many connections this pool has tried to open so far. */
    long openedCount();

    /** Closes connections that have been idle for too long to be reused. */
    void evictIdle();

    /** Closes idle connections now, and connections in use as they become idle. */
    @Override
    void close();
}
