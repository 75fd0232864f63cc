package org.berylwick.daemon.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpHeadersBuilder;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.quarantine.CrashText;
import org.berylwick.node.quarantine.Quarantine;

/**
 * What this daemon knows of requests that crash the backend servers that run them. Thread-safe.
 *
 * <p>Daemons tell each other of the requests that they hold back in the headers of the calls between them, so that it
 * takes no messages of its own. A request whose body is streamed has no fingerprint and is never held back.
 */
final class CrashGuard implements Quarantine.Listener {
    private static final EventLog EVENTS = new EventLog(CrashGuard.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int PROBE_WAIT_MILLIS = 10;
    private static final int MAX_PROBE_CONNECTIONS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Number of requests that daemons tell each other of with one call. */
    private static final int MAX_TOLD_REQUESTS = 4;

    private final String instance;
    private final HostPort backend;
    private final Quarantine quarantine;
    private final TimeSource time;
    private final Counter exits;
    private final Counter holds;
    private long exitCount;
    private volatile boolean exited;

    /**
     * @param instance instance name of this daemon
     * @param backend address of its backend server
     */
    CrashGuard(String instance, HostPort backend, MetricRegistry registry, TimeSource time) {
        this.instance = instance;
        this.backend = backend;
        this.time = time;
        this.quarantine = new Quarantine(time::nanoTime, this);
        exits = registry.counter(CallMetrics.BACKEND_EXITS);
        holds = registry.counter(CallMetrics.QUARANTINE_HOLDS);
        registry.gauge(CallMetrics.QUARANTINE_HELD, () -> this::heldCount);
    }

    private synchronized int heldCount() {
        return quarantine.heldCount();
    }

    /** Milliseconds for which a request is still held back; empty if it may be run. */
    synchronized Optional<Long> holdMillis(Optional<RequestFingerprint> request) {
        return request.map(r -> quarantine.remainingHoldNanos(r) / NANOS_PER_MILLI)
                .filter(millis -> millis > 0);
    }

    /** Number of known crashes of a request in succession. */
    synchronized int knownCrashes(Optional<RequestFingerprint> request) {
        return request.map(quarantine::generation).orElse(0);
    }

    /** Records that a backend server has completed a request. */
    synchronized void onCompleted(RequestFingerprint request) {
        quarantine.onCompleted(request);
    }

    /** Records a response of the backend server, whose process therefore runs. */
    void onBackendResponse() {
        exited = false;
    }

    /**
     * Finds out whether the process of the backend server has ended, after a connection to it broke: then it refuses
     * new ones.
     */
    CompletableFuture<Boolean> checkExit() {
        return CompletableFuture.supplyAsync(this::isConnectionRefused, CommonPools.blockingTaskExecutor());
    }

    private boolean isConnectionRefused() {
        try {
            int connections = 1;
            while (!staysOpen() && connections < MAX_PROBE_CONNECTIONS) {
                connections++;
            }
            return false;
        } catch (ConnectException e) {
            return true;
        } catch (IOException e) {
            // A timeout or an unreachable network says nothing about the process.
            return false;
        }
    }

    /** Opens a connection, and tells whether it stays open. A process that is ending may accept a last one. */
    private boolean staysOpen() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(backend.host(), backend.port()), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(PROBE_WAIT_MILLIS);
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (ConnectException e) {
            throw e;
        } catch (SocketException e) {
            return false;
        }
    }

    /**
     * Records that the backend server ended while it ran a request.
     *
     * @param knownCrashes crashes of the request in succession that were known when it was sent
     */
    synchronized void onCrashed(Optional<RequestFingerprint> request, int knownCrashes) {
        if (!exited) {
            exited = true;
            exitCount++;
            exits.inc();
            EVENTS.log(CallEvent.BACKEND_EXITED, backend);
        }
        request.ifPresent(r -> quarantine.onCrashed(r, instance + "/" + exitCount, knownCrashes));
    }

    /** Adds what this daemon holds back to the headers of a message to another daemon. */
    synchronized void tell(HttpHeadersBuilder headers) {
        long now = time.nanoTime();
        for (SuspectReport.Crashed crash : quarantine.heldCrashes(MAX_TOLD_REQUESTS)) {
            headers.add(CallHeaders.CRASH, CrashText.encode(crash, (now - crash.at()) / NANOS_PER_MILLI));
        }
    }

    /** Adds what another daemon holds back, from the headers of its message. */
    void learn(HttpHeaders headers) {
        if (!headers.contains(CallHeaders.CRASH)) {
            return;
        }
        long now = time.nanoTime();
        synchronized (this) {
            for (String text : headers.getAll(CallHeaders.CRASH)) {
                CrashText.decode(text, ageMillis -> now - Math.max(0, ageMillis) * NANOS_PER_MILLI)
                        .ifPresent(quarantine::merge);
            }
        }
    }

    @Override
    public void onHeld(RequestFingerprint request, int crashes, long holdNanos) {
        holds.inc();
        EVENTS.log(CallEvent.REQUEST_HELD, request, holdNanos / NANOS_PER_MILLI, crashes);
    }

    @Override
    public void onCleared(RequestFingerprint request) {
        EVENTS.log(CallEvent.REQUEST_CLEARED, request);
    }
}
