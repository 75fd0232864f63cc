package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.call.EntryServer;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.PeerServer;

/**
 * The order of a planned stop; confined to the event loop.
 *
 * <p>The backend server beside this node runs on, and is out of reach from the owner's stop until the node is back. So
 * the owner works on while callers are sent elsewhere, and stops last. Its runs make calls of their own through the
 * port for callers, so that closes only after them. The stop ends when the last answer has been written.
 */
final class GracefulShutdown {
    /** Callers are sent elsewhere after this many questions for readiness without a yes. */
    private static final int FAILED_PROBES_UNTIL_DRAINED = 2;
    /** The platform asks once a second; whoever else asks in between tells nothing of callers. */
    private static final long MIN_PROBE_SPACING_NANOS = 500_000_000L;
    /** Callers may have begun a request before they were sent elsewhere. */
    private static final long LAST_CALLER_REQUESTS_MILLIS = 100;
    /** As long as the platform takes for so many questions; if it asks none, callers are taken to have gone by then. */
    private static final long CALLER_DRAIN_TIMEOUT_MILLIS = 2_600;
    /** Other nodes hear of the stop within this, and send nothing more to the backend server here. */
    private static final long LEAVE_PROPAGATION_MILLIS = 100;
    /** Kept back from the grace, for the process to end. */
    private static final long PROCESS_EXIT_MARGIN_MILLIS = 300;
    /** Calls have their final answer this much before the end, so that it leaves. */
    private static final long RESPONSE_FLUSH_MILLIS = 150;

    /** A request that comes this much before the end may outlast the process, so it is refused. */
    private static final long REFUSE_REQUESTS_MILLIS = 1_500;

    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** Quiet checks in a row before the end: an answer may still be on its way out. */
    private static final int REQUIRED_IDLE_CHECKS = 3;

    private final EventLoop loop;
    private final long graceNanos;
    private final Owner owner;
    private final EntryServer entryServer;
    private final PeerServer peerServer;
    private final Runnable announceLeaving;
    private final Runnable onComplete;
    private boolean started;
    private boolean callersDrained;
    private boolean listening = true;
    private int failedProbes;
    private long lastFailedProbeAt;
    private long endAt;
    private int idleChecks;

    /**
     * @param loop all runs on it
     * @param graceNanos from the signal to the kill
     * @param owner of the backend server
     * @param entryServer for callers
     * @param peerServer for other nodes
     * @param announceLeaving has others told that the owner will stop in a moment
     * @param onComplete hears that nothing is under way any more
     */
    GracefulShutdown(
            EventLoop loop,
            long graceNanos,
            Owner owner,
            EntryServer entryServer,
            PeerServer peerServer,
            Runnable announceLeaving,
            Runnable onComplete) {
        this.loop = loop;
        this.graceNanos = graceNanos;
        this.owner = owner;
        this.entryServer = entryServer;
        this.peerServer = peerServer;
        this.announceLeaving = announceLeaving;
        this.onComplete = onComplete;
    }

    void start() {
        started = true;
        endAt = System.nanoTime() + graceNanos - PROCESS_EXIT_MARGIN_MILLIS * 1_000_000;
        entryServer.drain(endAt - RESPONSE_FLUSH_MILLIS * 1_000_000);
        loop.schedule(this::onCallersDrained, CALLER_DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Somebody asked whether this node is ready, and was told no. */
    void onReadinessProbeFailed() {
        long now = System.nanoTime();
        if (!started || failedProbes > 0 && now - lastFailedProbeAt < MIN_PROBE_SPACING_NANOS) {
            return;
        }
        lastFailedProbeAt = now;
        failedProbes++;
        if (failedProbes == FAILED_PROBES_UNTIL_DRAINED) {
            loop.schedule(this::onCallersDrained, LAST_CALLER_REQUESTS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onCallersDrained() {
        if (callersDrained) {
            return;
        }
        callersDrained = true;
        announceLeaving.run();
        loop.schedule(this::stopOwner, LEAVE_PROPAGATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopOwner() {
        owner.stop();
        checkProgress();
    }

    private void checkProgress() {
        long now = System.nanoTime();
        boolean graceExpired = now >= endAt;
        if (now >= endAt - REFUSE_REQUESTS_MILLIS * 1_000_000) {
            entryServer.refuseNew();
        }
        if (listening && (owner.pending() == 0 || graceExpired)) {
            listening = false;
            entryServer.stopListening();
        }
        idleChecks = isIdle() ? idleChecks + 1 : 0;
        if (idleChecks >= REQUIRED_IDLE_CHECKS || graceExpired) {
            onComplete.run();
            return;
        }
        loop.schedule(this::checkProgress, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isIdle() {
        return owner.pending() + entryServer.pending() == 0 && !peerServer.isSending();
    }
}
