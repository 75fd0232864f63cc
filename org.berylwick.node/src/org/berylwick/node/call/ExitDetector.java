package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.transport.ServerConnectionPool;

/**
 * Tells whether an incarnation of a backend server has ended or only a connection to it broke; confined to the event
 * loop.
 *
 * <p>A process that ends closes all its connections, and its VM refuses new ones. So a new connection is opened after
 * one has broken.
 */
final class ExitDetector {
    private final ServerConnectionPool pool;
    private final Runnable onExit;
    private List<Consumer<Boolean>> pending = new ArrayList<>();

    /**
     * @param pool connections to the incarnation
     * @param onExit runs each time that the incarnation is found to have ended, after those who asked
     */
    ExitDetector(ServerConnectionPool pool, Runnable onExit) {
        this.pool = pool;
        this.onExit = onExit;
    }

    /**
     * Finds out whether the incarnation has ended.
     *
     * @param onResult receives the result, at the latest when the time for connecting has passed
     */
    void check(Consumer<Boolean> onResult) {
        pending.add(onResult);
        if (pending.size() == 1) {
            pool.probe(this::onProbed);
        }
    }

    private void onProbed(ServerConnectionPool.ProbeResult result) {
        boolean exited = result == ServerConnectionPool.ProbeResult.REFUSED;
        List<Consumer<Boolean>> receivers = pending;
        pending = new ArrayList<>();
        receivers.forEach(receiver -> receiver.accept(exited));
        if (exited) {
            onExit.run();
        }
    }
}
