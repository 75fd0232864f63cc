package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.transport.ServerConnectionPool;

/**
 * Tells whether an incarnation of a backend server has ended or only a connection to it broke; confined to the event
 * loop.
 *
 * <p>A process that ends closes all its connections, and its VM refuses new ones. So a new connection is opened after
 * one has broken.
 */
final class ExitDetector {
    private static final long MAX_PROBE_NANOS = 50_000_000L;

    private final Clock clock;
    private final ServerConnectionPool pool;
    private final Runnable onExit;
    private List<Consumer<Boolean>> pending = new ArrayList<>();
    private Clock.Timer timeout;
    private boolean probing;

    /**
     * @param clock time source; its tasks run on the same thread as this object's methods
     * @param pool connections to the incarnation
     * @param onExit runs each time that the incarnation is found to have ended, after those who asked
     */
    ExitDetector(Clock clock, ServerConnectionPool pool, Runnable onExit) {
        this.clock = clock;
        this.pool = pool;
        this.onExit = onExit;
    }

    /**
     * Finds out whether the incarnation has ended.
     *
     * @param onResult receives the result within {@link #MAX_PROBE_NANOS}, false if it is not known by then
     */
    void check(Consumer<Boolean> onResult) {
        if (pending.isEmpty()) {
            timeout = clock.schedule(clock.now() + MAX_PROBE_NANOS, () -> deliver(false));
        }
        pending.add(onResult);
        if (!probing) {
            probing = true;
            pool.probe(this::onProbed);
        }
    }

    private void onProbed(ServerConnectionPool.ProbeResult result) {
        probing = false;
        boolean exited = result == ServerConnectionPool.ProbeResult.REFUSED;
        deliver(exited);
        if (exited) {
            onExit.run();
        }
    }

    private void deliver(boolean result) {
        timeout.cancel();
        List<Consumer<Boolean>> receivers = pending;
        pending = new ArrayList<>();
        receivers.forEach(receiver -> receiver.accept(result));
    }
}
