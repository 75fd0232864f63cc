package org.berylwick.node.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.ConnectionPool;

/** What a node believes of another node and of the backend server beside it; confined to the event loop. */
public final class Member {
    private static final long MIN_SUSPICION_NANOS = 100_000_000L;
    private static final long MAX_SUSPICION_NANOS = 2_000_000_000L;
    /** A request that was sent a moment ago is not overdue, however long its node was not heard before. */
    private static final long MIN_OVERDUE_NANOS = 500_000_000L;

    private final String ip;
    private final BiConsumer<Member, String> onSuspected;
    private NodeState state;
    private long lastHeardAt;
    private long suspectUntil;
    private int consecutiveFailures;
    private OwnerLoad load = OwnerLoad.NONE;
    private String lastUsedIncarnation = "";
    /** Requests that it has not answered, and when each was sent. */
    private final Map<PendingRequest, Long> outstanding = new HashMap<>();

    private long lastProgressAt;
    private int inFlight;
    private int inFlightAtLoadReport;
    /** When the bodies that are known to be on their way there have come over its link. */
    private long incomingLinkFreeAt;
    /** When the large answers that are known to be made there have left over its link. */
    private long outgoingLinkFreeAt;

    private ConnectionPool pool;

    Member(String ip, NodeState state, long now, BiConsumer<Member, String> onSuspected) {
        this.onSuspected = onSuspected;
        this.ip = ip;
        this.state = state;
        this.lastHeardAt = now;
        this.suspectUntil = now;
        this.lastProgressAt = now;
        updateLoad(state.load(), now);
    }

    /** The VM's address. */
    public String ip() {
        return ip;
    }

    /** What the node last said of itself. */
    public NodeState state() {
        return state;
    }

    /** When it was last heard. */
    public long lastHeardAt() {
        return lastHeardAt;
    }

    /** The newest load told by its owner. */
    public OwnerLoad load() {
        return load;
    }

    /** Requests of this node that it has not answered. */
    public int inFlight() {
        return inFlight;
    }

    /** Requests there now, as far as this node can know: the last report and what was sent or answered since. */
    public int estimatedRequestCount() {
        return Math.max(inFlight, load.running() + load.queued() + inFlight - inFlightAtLoadReport);
    }

    /** Whether calls to it failed a short time ago. */
    public boolean isSuspect(long now) {
        return now < suspectUntil;
    }

    /** Failures in a row. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Whether its backend server takes work, as last heard. */
    public boolean acceptsRequests() {
        return state.backendState() == BackendState.READY && !state.leaving();
    }

    /** Connections to it. */
    public ConnectionPool pool() {
        return pool;
    }

    void setPool(ConnectionPool connections) {
        pool = connections;
    }

    void update(NodeState received, long now) {
        boolean restarted = received.bootId() != state.bootId();
        state = received;
        lastHeardAt = now;
        updateLoad(received.load(), now);
        if (restarted) {
            consecutiveFailures = 0;
            suspectUntil = now;
        }
    }

    /** Takes over a load that its owner told with an answer. */
    public void updateLoad(OwnerLoad received, long now) {
        load = received;
        inFlightAtLoadReport = inFlight;
        incomingLinkFreeAt = now + received.incomingNanos();
        outgoingLinkFreeAt = now + received.outgoingNanos();
    }

    /** The link that leads there, as far as this node can know. */
    public LinkLoad linkLoad(long now) {
        return new LinkLoad(
                Math.max(0, incomingLinkFreeAt - now), Math.max(0, outgoingLinkFreeAt - now), state.linkMbps());
    }

    /** Whether no request was sent to its backend server since that joined. */
    public boolean isIncarnationUnused() {
        return !state.incarnation().equals(lastUsedIncarnation);
    }

    /** A request that waits for this node's answer. */
    public interface PendingRequest {
        /**
         * Neither datagrams nor answers of the node come any more. It may be lost, or its datagrams may be: a request
         * that runs there goes on.
         */
        void onNodeSilent();
    }

    /**
     * A request goes there.
     *
     * @param request for its answer
     * @param bodyBytes that it brings
     * @param expectedResponseBytes that its answer is expected to have
     * @param now in {@link System#nanoTime} terms
     */
    public void onRequestSent(PendingRequest request, int bodyBytes, int expectedResponseBytes, long now) {
        LinkLoad link = linkLoad(now);
        incomingLinkFreeAt = Math.max(now, incomingLinkFreeAt) + link.nanosOf(bodyBytes);
        if (link.isLarge(expectedResponseBytes)) {
            outgoingLinkFreeAt = Math.max(now, outgoingLinkFreeAt) + link.nanosOf(expectedResponseBytes);
        }
        inFlight++;
        outstanding.put(request, now);
        lastUsedIncarnation = state.incarnation();
    }

    /** A request there is over. */
    public void onRequestEnded(PendingRequest request) {
        inFlight--;
        outstanding.remove(request);
    }

    /** Bytes of an answer came from it. */
    public void onResponseProgress(long now) {
        lastProgressAt = now;
    }

    /** Tells requests that have waited for a while if neither datagrams nor answers came for a span. */
    void notifyIfSilent(long timeoutNanos, long now) {
        if (now - lastHeardAt <= timeoutNanos || now - lastProgressAt <= timeoutNanos) {
            return;
        }
        List<PendingRequest> overdue = new ArrayList<>();
        outstanding.forEach((request, sentAt) -> {
            if (now - sentAt > MIN_OVERDUE_NANOS) {
                overdue.add(request);
            }
        });
        if (overdue.isEmpty()) {
            return;
        }
        onFailure("silent", now);
        overdue.forEach(PendingRequest::onNodeSilent);
    }

    /** A call to it went well. */
    public void onSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * A call to it failed for a reason of the node or the link; it is passed over for a while that doubles.
     *
     * @param cause for the log
     * @param now in {@link System#nanoTime} terms
     */
    public void onFailure(String cause, long now) {
        long suspicionNanos = Math.min(MAX_SUSPICION_NANOS, MIN_SUSPICION_NANOS << Math.min(consecutiveFailures, 5));
        consecutiveFailures++;
        suspectUntil = now + suspicionNanos;
        onSuspected.accept(this, cause);
    }
}
