package org.berylwick.testing;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A backend server whose process ends when it runs a crashing request or when it is told to, and that a supervisor
 * restarts on the same port after a while.
 */
public final class RestartingServer implements AutoCloseable {
    /** Requests whose path contains this crash it; it answers all others. */
    public static final String CRASHING = "crash";
    /** Requests whose path contains this take a while. */
    public static final String SLOW = "slow";

    private static final int RESTART_MILLIS = 1_000;
    private static final int RUN_MILLIS = 60;
    private static final int SLOW_RUN_MILLIS = 500;

    private final RawServer.Script answer;
    private final Consumer<RestartingServer> onStart;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger slowRuns = new AtomicInteger();
    private RawServer server;
    private boolean closed;

    /** A crashing request that arrived, and when, in {@link System#nanoTime} terms. */
    public record Arrival(String path, long at) {}

    /**
     * Starts it.
     *
     * @param answer answers the requests that do not crash it, whose bodies have been read
     * @param onStart called after each start
     */
    public RestartingServer(RawServer.Script answer, Consumer<RestartingServer> onStart) {
        this.answer = answer;
        this.onStart = onStart;
        this.server = new RawServer(this::run);
        onStart.accept(this);
    }

    /** The server of the current process. */
    public synchronized RawServer server() {
        return server;
    }

    private void run(RawServer.Connection connection, RawServer.Request request) throws IOException {
        String length = request.header("content-length");
        connection.read(length.isEmpty() ? 0 : Integer.parseInt(length));
        if (!request.path().contains(CRASHING)) {
            serve(connection, request);
            return;
        }
        RawServer crashing = server;
        arrivals.add(new Arrival(request.path(), System.nanoTime()));
        sleep(RUN_MILLIS);
        crash(crashing);
    }

    private void serve(RawServer.Connection connection, RawServer.Request request) throws IOException {
        if (!request.path().contains(SLOW)) {
            sleep(RUN_MILLIS);
            answer.run(connection, request);
            return;
        }
        slowRuns.incrementAndGet();
        try {
            sleep(SLOW_RUN_MILLIS);
            answer.run(connection, request);
        } finally {
            slowRuns.decrementAndGet();
        }
    }

    /** Ends the process; it is restarted after a while. */
    public void crash() {
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
            sleep(RESTART_MILLIS);
            restart(port);
        });
    }

    private synchronized void restart(int port) {
        if (!closed) {
            server = new RawServer(port, this::run);
            onStart.accept(this);
        }
    }

    /** Number of times that the process has ended. */
    public int crashes() {
        return crashes.get();
    }

    /** Whether it is running a slow request. */
    public boolean isRunningSlowRequest() {
        return slowRuns.get() > 0;
    }

    /** The crashing requests that it has begun to run. */
    public List<Arrival> arrivals() {
        return arrivals;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        server.close();
    }
}
