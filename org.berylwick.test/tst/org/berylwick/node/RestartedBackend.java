package org.berylwick.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.node.lib.BackendState;
import org.berylwick.testing.RawServer;

/**
 * A backend server beside a node of the rig. It ends when it runs a crashing request or when it is told to, and a
 * supervisor restarts it on the same port as another incarnation.
 */
final class RestartedBackend implements AutoCloseable {
    /** Requests below this path crash it; it answers all others. */
    static final String CRASHING_PATH = "/read/crash";

    private static final int RESTART_MILLIS = 1_000;
    private static final int RUN_MILLIS = 60;

    private final NodeRig rig;
    private final int node;
    private final int slots;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private RawServer server;
    private boolean closed;

    /** A crashing request that arrived, and when, in {@link System#nanoTime} terms. */
    record Arrival(String path, long at) {}

    /** Starts it; its node must be running. */
    RestartedBackend(NodeRig rig, int node, int slots) {
        this.rig = rig;
        this.node = node;
        this.slots = slots;
        this.server = new RawServer(this::run);
        report();
    }

    private synchronized void report() {
        if (!closed) {
            rig.report(node, server, "i-" + node + "-" + crashes, 1, BackendState.READY, slots);
        }
    }

    private void run(RawServer.Connection connection, RawServer.Request request) throws java.io.IOException {
        if (!request.path().startsWith(CRASHING_PATH)) {
            NodeRig.sleep(RUN_MILLIS);
            NodeRig.respondOk(connection, request);
            return;
        }
        RawServer crashing = server;
        arrivals.add(new Arrival(request.path(), System.nanoTime()));
        NodeRig.sleep(RUN_MILLIS);
        crash(crashing);
    }

    /** Ends the process; it is restarted after a while. */
    void crash() {
        crash(server);
    }

    private synchronized void crash(RawServer crashing) {
        if (closed || crashing != server) {
            return;
        }
        int port = server.address().port();
        server.close();
        crashes.incrementAndGet();
        Thread.ofPlatform().daemon(true).start(() -> {
            NodeRig.sleep(RESTART_MILLIS);
            restart(port);
        });
    }

    private synchronized void restart(int port) {
        if (!closed) {
            server = new RawServer(port, this::run);
            report();
        }
    }

    /** Number of times that the process has ended. */
    int crashes() {
        return crashes.get();
    }

    /** The crashing requests that it has begun to run. */
    List<Arrival> arrivals() {
        return arrivals;
    }

    @Override
    public synchronized void close() {
        closed = true;
        server.close();
    }
}
