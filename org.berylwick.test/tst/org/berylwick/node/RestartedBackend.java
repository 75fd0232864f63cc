package org.berylwick.node;

import java.io.IOException;
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
    /** Requests whose path contains this crash it; it answers all others. */
    static final String CRASHING = "crash";
    /** Requests whose path contains this take a while. */
    static final String SLOW = "slow";

    private static final int RESTART_MILLIS = 1_000;
    private static final int RUN_MILLIS = 60;
    private static final int SLOW_RUN_MILLIS = 500;

    private final NodeRig rig;
    private final int node;
    private final int slots;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger slowRuns = new AtomicInteger();
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

    private void run(RawServer.Connection connection, RawServer.Request request) throws IOException {
        String length = request.header("content-length");
        connection.read(length.isEmpty() ? 0 : Integer.parseInt(length));
        if (!request.path().contains(CRASHING)) {
            answer(connection, request);
            return;
        }
        RawServer crashing = server;
        arrivals.add(new Arrival(request.path(), System.nanoTime()));
        NodeRig.sleep(RUN_MILLIS);
        crash(crashing);
    }

    private void answer(RawServer.Connection connection, RawServer.Request request) throws IOException {
        if (!request.path().contains(SLOW)) {
            NodeRig.sleep(RUN_MILLIS);
            NodeRig.respondOk(connection, request);
            return;
        }
        slowRuns.incrementAndGet();
        try {
            NodeRig.sleep(SLOW_RUN_MILLIS);
            NodeRig.respondOk(connection, request);
        } finally {
            slowRuns.decrementAndGet();
        }
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

    /** Whether it is running a slow request. */
    boolean isRunningSlowRequest() {
        return slowRuns.get() > 0;
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
