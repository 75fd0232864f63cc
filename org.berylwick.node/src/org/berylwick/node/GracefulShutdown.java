package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.call.EntryServer;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.PeerServer;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;

/**
 * Shuts a node down in stages; confined to the event loop.
 *
 * <p>The backend server beside this node keeps running, but it cannot be reached from the time the owner stops until
 * the node is back. So the owner keeps accepting requests while callers are routed to other nodes, and stops last. The
 * requests that it runs make calls of their own through the port for callers, so that port is closed only after they
 * have ended. The shutdown is complete when the last response has been written.
 *
 * <p>Once callers have been routed to other nodes, a request that might not end before the shutdown is refused: it can
 * be served elsewhere, and would be cut here.
 */
final class GracefulShutdown {
    /** Callers are routed to other nodes after this many failed readiness probes. */
    private static final int FAILED_PROBES_UNTIL_DRAINED = 2;
    /**
     * The platform probes once a second. A probe that follows another one sooner than this comes from someone else and
     * does not show that callers have been routed to other nodes.
     */
    private static final long MIN_PROBE_SPACING_NANOS = 500_000_000L;
    /**
     * Time from the last of these probes until callers are considered drained. It covers requests that callers began
     * before they were routed to other nodes.
     */
    private static final long CALLER_REROUTE_DELAY_MILLIS = 100;
    /**
     * Time from the signal in which the platform makes {@link #FAILED_PROBES_UNTIL_DRAINED} probes. If it makes none,
     * callers are assumed to have been routed to other nodes after this time.
     */
    private static final long CALLER_DRAIN_TIMEOUT_NANOS = 2_600_000_000L;
    /**
     * Time before the shutdown ends at which callers are considered drained in any case, so that the port is closed.
     */
    private static final long MIN_CLOSE_NANOS = 600_000_000L;
    /** Time in which other nodes learn by gossip that this node is leaving, and stop sending it requests to run. */
    private static final long LEAVE_PROPAGATION_MILLIS = 100;
    /** Part of the grace period that is reserved for the end of the process. */
    static final long PROCESS_EXIT_MARGIN_NANOS = 500_000_000L;
    /**
     * On a VM short of processor time, the signal arrives late and the process ends slowly. Each is assumed to take as
     * much longer as the event loop takes to begin the shutdown.
     */
    private static final int START_DELAYS_RESERVED = 2;

    private static final long MAX_DELAY_RESERVE_NANOS = 500_000_000L;
    /** Calls get their final response this long before the shutdown ends, so that it can still be sent. */
    private static final long RESPONSE_FLUSH_MILLIS = 150;

    /**
     * Requests that arrive within this time before the shutdown ends are refused, as they might outlast the process.
     */
    private static final long REFUSE_REQUESTS_BEFORE_END_MILLIS = 1_500;

    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** Consecutive checks without pending requests until the shutdown ends, as a response may still be in transit. */
    private static final int REQUIRED_IDLE_CHECKS = 3;

    /** What a shutdown has reached, as logged. */
    private enum Stage {
        STARTED,
        CALLERS_DRAINED,
        OWNER_STOPPED,
        PORT_CLOSED,
        IDLE,
        END_REACHED
    }

    private final EventLoop loop;
    private final EventLog log;
    private final long graceNanos;
    private final Owner owner;
    private final EntryServer entryServer;
    private final PeerServer peerServer;
    private final Runnable announceLeaving;
    private final Runnable onComplete;
    private boolean started;
    private boolean callersDrained;
    private boolean callerPortOpen = true;
    private int failedProbes;
    private long lastFailedProbeAt;
    private long endAt;
    private int consecutiveIdleChecks;
    private long startedAt;
    private long nextCheckAt;
    /** Longest delay of a check since the last log line: for so long the event loop was busy. */
    private long maxCheckDelayNanos;

    /**
     * Creates a shutdown that has not started.
     *
     * @param loop event loop on which everything runs
     * @param log receives the stages
     * @param graceNanos grace period from the signal until the process is killed
     * @param owner owner of the backend server
     * @param entryServer server for callers
     * @param peerServer server for other nodes
     * @param announceLeaving announces to other nodes that the owner is about to stop
     * @param onComplete called when nothing is pending any more, or when the time is up
     */
    GracefulShutdown(
            EventLoop loop,
            EventLog log,
            long graceNanos,
            Owner owner,
            EntryServer entryServer,
            PeerServer peerServer,
            Runnable announceLeaving,
            Runnable onComplete) {
        this.loop = loop;
        this.log = log;
        this.graceNanos = graceNanos;
        this.owner = owner;
        this.entryServer = entryServer;
        this.peerServer = peerServer;
        this.announceLeaving = announceLeaving;
        this.onComplete = onComplete;
    }

    /**
     * Starts the shutdown.
     *
     * @param signalledAt when the process was asked to stop, on the scale of {@link System#nanoTime}
     * @param hasCallers whether callers can have connected to this node
     */
    void start(long signalledAt, boolean hasCallers) {
        started = true;
        startedAt = signalledAt;
        long startDelayNanos = System.nanoTime() - signalledAt;
        endAt = signalledAt
                + graceNanos
                - PROCESS_EXIT_MARGIN_NANOS
                - Math.min(START_DELAYS_RESERVED * startDelayNanos, MAX_DELAY_RESERVE_NANOS);
        entryServer.drain(endAt - RESPONSE_FLUSH_MILLIS * 1_000_000);
        logStage(Stage.STARTED);
        if (hasCallers) {
            long drainedAt = Math.min(signalledAt + CALLER_DRAIN_TIMEOUT_NANOS, endAt - MIN_CLOSE_NANOS);
            loop.schedule(this::onCallersDrained, drainedAt - System.nanoTime(), TimeUnit.NANOSECONDS);
        } else {
            onCallersDrained();
        }
    }

    private void logStage(Stage stage) {
        log.write(
                Event.STOP_STAGE,
                "stage",
                stage,
                "sinceStopMs",
                (System.nanoTime() - startedAt) / 1_000_000,
                "loopDelayMs",
                maxCheckDelayNanos / 1_000_000,
                "owner",
                owner.pendingCount(),
                "entry",
                entryServer.pendingRequests(),
                "connections",
                entryServer.connectionCount(),
                "sending",
                peerServer.isSending());
        maxCheckDelayNanos = 0;
    }

    /** Called when a readiness probe was answered with "not ready". */
    void onReadinessProbeFailed() {
        long now = System.nanoTime();
        if (!started || failedProbes > 0 && now - lastFailedProbeAt < MIN_PROBE_SPACING_NANOS) {
            return;
        }
        lastFailedProbeAt = now;
        failedProbes++;
        if (failedProbes == FAILED_PROBES_UNTIL_DRAINED) {
            loop.schedule(this::onCallersDrained, CALLER_REROUTE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onCallersDrained() {
        if (callersDrained) {
            return;
        }
        callersDrained = true;
        logStage(Stage.CALLERS_DRAINED);
        entryServer.refuseLongRequests();
        announceLeaving.run();
        loop.schedule(this::stopOwner, LEAVE_PROPAGATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopOwner() {
        owner.stop();
        logStage(Stage.OWNER_STOPPED);
        nextCheckAt = System.nanoTime();
        checkProgress();
    }

    private void checkProgress() {
        long now = System.nanoTime();
        maxCheckDelayNanos = Math.max(maxCheckDelayNanos, now - nextCheckAt);
        boolean endReached = now >= endAt;
        if (now >= endAt - REFUSE_REQUESTS_BEFORE_END_MILLIS * 1_000_000) {
            entryServer.refuseNewRequests();
        }
        if (callerPortOpen && (owner.pendingCount() == 0 || endReached)) {
            callerPortOpen = false;
            entryServer.stopListening();
            logStage(Stage.PORT_CLOSED);
        }
        consecutiveIdleChecks = isIdle() ? consecutiveIdleChecks + 1 : 0;
        if (consecutiveIdleChecks >= REQUIRED_IDLE_CHECKS || endReached) {
            logStage(endReached ? Stage.END_REACHED : Stage.IDLE);
            onComplete.run();
            return;
        }
        nextCheckAt = now + CHECK_INTERVAL_MILLIS * 1_000_000;
        loop.schedule(this::checkProgress, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isIdle() {
        return owner.pendingCount() + entryServer.pendingRequests() == 0 && !peerServer.isSending();
    }
}
