package org.berylwick.node.transport;

import java.util.function.Consumer;

/** Connections to one server. */
public interface ServerConnectionPool extends AutoCloseable {
    /**
     * Takes an idle connection or opens one.
     *
     * @param freshestNanos takes none that has been idle for longer
     * @param onOpen takes it
     * @param onFailure hears why there is none; nothing was sent then
     */
    void acquire(long freshestNanos, Consumer<ServerConnection> onOpen, Consumer<String> onFailure);

    /** Connections opened since the start. */
    long openedCount();

    /** Closes connections that have been idle for too long. */
    void evictIdle();

    /** Closes idle connections now, and busy ones as they become idle. */
    @Override
    void close();
}
