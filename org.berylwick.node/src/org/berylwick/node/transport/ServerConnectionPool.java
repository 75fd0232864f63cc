package org.berylwick.node.transport;

import java.util.function.Consumer;

/** Connections to one server. */
public interface ServerConnectionPool extends AutoCloseable {
    /**
     * Takes an idle connection or opens one.
     *
     * @param idleLimitNanos takes none that has been idle for longer
     * @param onConnection takes it
     * @param onFailure hears why there is none; nothing was sent then
     */
    void acquire(long idleLimitNanos, Consumer<ServerConnection> onConnection, Consumer<String> onFailure);

    /** Connections opened since the start. */
    long openedCount();

    /** Closes connections that have been idle for too long. */
    void evictIdle();

    /** Closes idle connections now, and busy ones as they become idle. */
    @Override
    void close();
}
