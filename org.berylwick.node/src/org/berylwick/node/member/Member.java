package org.berylwick.node.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.ConnectionPool;

/** What this node knows of another node and of the backend server on that node's VM. Confined to the event loop. */
public final class Member {
    private static final long MIN_SUSPICION_NANOS = 100_000_000L;
    private static final long MAX_SUSPICION_NANOS = 2_000_000_000L;
    /**
     * Minimum time for which a request has been pending before it is notified that its node is silent. A request that
     * was sent only just now may still be answered, however long the node has been silent.
     */
    private static final long MIN_PENDING_NANOS = 500_000_000L;
    /** After this time, what an earlier process of the node told of its backend server is not passed on any more. */
    private static final long MAX_FORMER_AGE_NANOS = 10_000_000_000L;

    private final String ip;
    private final BiConsumer<Member, String> onSuspected;
    private NodeState state;
    private long lastDatagramAt;
    private long suspectUntil;
    private int consecutiveFailures;
    private Optional<FormerBackend> formerBackend = Optional.empty();
    private long formerBackendHeardAt;
    private OwnerLoad load = OwnerLoad.NONE;
    private String lastUsedIncarnation = "";
    /** Requests that were sent to the node and have not ended, and when each was sent. */
    private final Map<PendingRequest, Long> pendingRequests = new HashMap<>();

    private long lastResponseProgressAt;
    private int inFlight;
    private int inFlightAtLoadReport;
    /** When all request bodies known to be in transit to the node will have been received over its VM's link. */
    private long incomingLinkFreeAt;
    /** When all large responses that the node is known to produce will have been sent over its VM's link. */
    private long outgoingLinkFreeAt;

    /** How long work takes there, in per cent of the mean, as last stated, and when that was received. */
    private int slowdownPercent;

    private long slowdownReceivedAt;

    /** When the limit that the backend server states is expected to allow one more request. */
    private long limitAllowsAt;

    private ConnectionPool pool;

    Member(String ip, NodeState state, long now, BiConsumer<Member, String> onSuspected) {
        this.onSuspected = onSuspected;
        this.ip = ip;
        this.state = state;
        this.lastDatagramAt = now;
        this.suspectUntil = now;
        this.lastResponseProgressAt = now;
        updateLoad(state.load(), now);
    }

    /** IP address of the VM. */
    public String ip() {
        return ip;
    }

    /** The latest state received from the node. */
    public NodeState state() {
        return state;
    }

    /** When the latest datagram was received from the node, in {@link System#nanoTime} terms. */
    public long lastDatagramAt() {
        return lastDatagramAt;
    }

    /** The latest load received from the node, by gossip or with a response. */
    public OwnerLoad load() {
        return load;
    }

    /** Number of requests that this node has sent to the other one and that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Estimates how many requests are running or queued on the node now: the number in the latest load that was
     * received, plus the requests that this node has sent since, minus those that have ended since.
     */
    public int estimatedRequestCount() {
        return Math.max(inFlight, load.running() + load.queued() + inFlight - inFlightAtLoadReport);
    }

    /** Whether a recent call to the node failed, so that other nodes should be preferred. */
    public boolean isSuspect(long now) {
        return now < suspectUntil;
    }

    /** Number of failed calls since the last successful one. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** What an earlier process of the node told of its backend server, empty if that is long ago. */
    Optional<FormerBackend> formerBackend(long now) {
        return now - formerBackendHeardAt <= MAX_FORMER_AGE_NANOS ? formerBackend : Optional.empty();
    }

    /** Whether its backend server accepts requests, according to the latest state. */
    public boolean acceptsRequests() {
        return state.backendState() == BackendState.READY && !state.leaving();
    }

    /** Connections to the node. */
    public ConnectionPool pool() {
        return pool;
    }

    void setPool(ConnectionPool newPool) {
        pool = newPool;
    }

    void update(NodeState received, long now) {
        boolean restarted = received.bootId() != state.bootId();
        if (restarted && !state.incarnation().isEmpty()) {
            formerBackend = Optional.of(new FormerBackend(state.incarnation(), state.backendState()));
            formerBackendHeardAt = lastDatagramAt;
        }
        state = received;
        lastDatagramAt = now;
        updateLoad(received.load(), now);
        if (restarted) {
            consecutiveFailures = 0;
            suspectUntil = now;
        }
    }

    /** Stores a load received from the node, by gossip or with a response. */
    public void updateLoad(OwnerLoad received, long now) {
        load = received;
        inFlightAtLoadReport = inFlight;
        incomingLinkFreeAt = now + received.incomingLinkBusyNanos();
        outgoingLinkFreeAt = now + received.outgoingLinkBusyNanos();
        limitAllowsAt = now + received.limitWaitNanos();
        if (received.slowdownPercent() > 0) {
            slowdownPercent = received.slowdownPercent();
            slowdownReceivedAt = now;
        }
    }

    /**
     * Estimates how long one more request would wait there because of the limit that the backend server states, from
     * the latest load that was received, and the requests that this node has sent since; 0 without a limit.
     */
    public long limitWaitNanos(long now) {
        return load.startIntervalNanos() == 0 ? 0 : Math.max(0, limitAllowsAt - now);
    }

    /** How long work takes at its backend server, in per cent of the mean, as last stated; 0 if it never was. */
    public int slowdownPercent() {
        return slowdownPercent;
    }

    /** Age of {@link #slowdownPercent()}. */
    public long slowdownAgeNanos(long now) {
        return now - slowdownReceivedAt;
    }

    /**
     * Estimates the load of the network link of the node's VM from the latest load that was received, and the requests
     * that this node has sent since.
     */
    public LinkLoad linkLoad(long now) {
        return new LinkLoad(
                Math.max(0, incomingLinkFreeAt - now), Math.max(0, outgoingLinkFreeAt - now), state.linkMbps());
    }

    /** Whether this node has not sent any request to the current incarnation of the backend server. */
    public boolean isIncarnationUnused() {
        return !state.incarnation().equals(lastUsedIncarnation);
    }

    /** A request that was sent to the node and has not ended. */
    public interface PendingRequest {
        /**
         * Called when neither datagrams nor response bytes were received from the node for some time. Either the node
         * has failed, or only its datagrams are lost; in the second case the request may still be running there.
         */
        void onMemberSilent();
    }

    /**
     * Records that a request is being sent to the node.
     *
     * @param request notified if the node becomes silent
     * @param bodyBytes length of the request body
     * @param expectedResponseBytes expected length of the response
     * @param now in {@link System#nanoTime} terms
     */
    public void onRequestSent(PendingRequest request, int bodyBytes, int expectedResponseBytes, long now) {
        LinkLoad link = linkLoad(now);
        incomingLinkFreeAt = Math.max(now, incomingLinkFreeAt) + link.transferNanos(bodyBytes);
        if (link.isLarge(expectedResponseBytes)) {
            outgoingLinkFreeAt = Math.max(now, outgoingLinkFreeAt) + link.transferNanos(expectedResponseBytes);
        }
        limitAllowsAt = Math.max(now, limitAllowsAt) + load.startIntervalNanos();
        inFlight++;
        pendingRequests.put(request, now);
        lastUsedIncarnation = state.incarnation();
    }

    /** Records that a request sent to the node has ended, in whatever way. */
    public void onRequestEnded(PendingRequest request) {
        inFlight--;
        pendingRequests.remove(request);
    }

    /** Records that bytes of a response were received from the node. */
    public void onResponseProgress(long now) {
        lastResponseProgressAt = now;
    }

    /**
     * Notifies requests that have been pending for longer than {@link #MIN_PENDING_NANOS}, and makes the node suspect,
     * if neither datagrams nor response bytes were received from the node within the timeout.
     */
    void notifyIfSilent(long timeoutNanos, long now) {
        if (now - lastDatagramAt <= timeoutNanos || now - lastResponseProgressAt <= timeoutNanos) {
            return;
        }
        List<PendingRequest> overdue = new ArrayList<>();
        pendingRequests.forEach((request, sentAt) -> {
            if (now - sentAt > MIN_PENDING_NANOS) {
                overdue.add(request);
            }
        });
        if (overdue.isEmpty()) {
            return;
        }
        onFailure("silent", now);
        overdue.forEach(PendingRequest::onMemberSilent);
    }

    /** Records a successful call, which ends the series of failures. */
    public void onSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * Records a call that failed because of the node or the network. The node is suspect for a time that doubles with
     * each consecutive failure up to a maximum.
     *
     * @param cause cause of the failure, for the log
     * @param now in {@link System#nanoTime} terms
     */
    public void onFailure(String cause, long now) {
        long suspicionNanos = Math.min(MAX_SUSPICION_NANOS, MIN_SUSPICION_NANOS << Math.min(consecutiveFailures, 5));
        consecutiveFailures++;
        suspectUntil = now + suspicionNanos;
        onSuspected.accept(this, cause);
    }
}
