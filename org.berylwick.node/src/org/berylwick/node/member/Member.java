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
    private static final long FIRST_SUSPICION_NANOS = 100_000_000L;
    private static final long LONGEST_SUSPICION_NANOS = 2_000_000_000L;
    /** A request that was sent a moment ago is not overdue, however long its node was not heard before. */
    private static final long LEAST_OVERDUE_NANOS = 500_000_000L;

    private final String ip;
    private final BiConsumer<Member, String> onSuspected;
    private NodeState state;
    private long heardAt;
    private long suspectUntil;
    private int failures;
    private OwnerLoad load = OwnerLoad.NONE;
    private String usedIncarnation = "";
    /** Requests that it has not answered, and when each was sent. */
    private final Map<Waiting, Long> outstanding = new HashMap<>();

    private long progressAt;
    private int inFlight;
    private int inFlightAtReport;
    /** When the bodies that are known to be on their way there have come over its link. */
    private long linkFreeAt;
    /** When the large answers that are known to be made there have left over its link. */
    private long answersLeftAt;

    private ConnectionPool pool;

    Member(String ip, NodeState state, long now, BiConsumer<Member, String> onSuspected) {
        this.onSuspected = onSuspected;
        this.ip = ip;
        this.state = state;
        this.heardAt = now;
        this.suspectUntil = now;
        this.progressAt = now;
        learn(state.load(), now);
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
    public long heardAt() {
        return heardAt;
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
    public int expectedAhead() {
        return Math.max(inFlight, load.running() + load.queued() + inFlight - inFlightAtReport);
    }

    /** Whether calls to it failed a short time ago. */
    public boolean isSuspect(long now) {
        return now < suspectUntil;
    }

    /** Failures in a row. */
    public int failures() {
        return failures;
    }

    /** Whether its backend server takes work, as last heard. */
    public boolean takesWork() {
        return state.backend() == BackendState.READY && !state.leaving();
    }

    /** Connections to it. */
    public ConnectionPool pool() {
        return pool;
    }

    void use(ConnectionPool connections) {
        pool = connections;
    }

    void hear(NodeState told, long now) {
        boolean restarted = told.boot() != state.boot();
        state = told;
        heardAt = now;
        learn(told.load(), now);
        if (restarted) {
            failures = 0;
            suspectUntil = now;
        }
    }

    /** Takes over a load that its owner told with an answer. */
    public void learn(OwnerLoad told, long now) {
        load = told;
        inFlightAtReport = inFlight;
        linkFreeAt = now + told.incomingNanos();
        answersLeftAt = now + told.outgoingNanos();
    }

    /** The link that leads there, as far as this node can know. */
    public LinkLoad link(long now) {
        return new LinkLoad(Math.max(0, linkFreeAt - now), Math.max(0, answersLeftAt - now), state.linkMbps());
    }

    /** Whether no request was sent to its backend server since that joined. */
    public boolean isUntried() {
        return !state.incarnation().equals(usedIncarnation);
    }

    /** A request that waits for this node's answer. */
    public interface Waiting {
        /**
         * Neither datagrams nor answers of the node come any more. It may be lost, or its datagrams may be: a request
         * that runs there goes on.
         */
        void onSilent();
    }

    /**
     * A request goes there.
     *
     * @param waiting for its answer
     * @param bodyBytes that it brings
     * @param answerBytes that its answer is expected to have
     * @param now in {@link System#nanoTime} terms
     */
    public void onSent(Waiting waiting, int bodyBytes, int answerBytes, long now) {
        LinkLoad link = link(now);
        linkFreeAt = Math.max(now, linkFreeAt) + link.transferNanos(bodyBytes);
        if (link.isLarge(answerBytes)) {
            answersLeftAt = Math.max(now, answersLeftAt) + link.transferNanos(answerBytes);
        }
        inFlight++;
        outstanding.put(waiting, now);
        usedIncarnation = state.incarnation();
    }

    /** A request there is over. */
    public void onDone(Waiting waiting) {
        inFlight--;
        outstanding.remove(waiting);
    }

    /** Bytes of an answer came from it. */
    public void onProgress(long now) {
        progressAt = now;
    }

    /** Tells requests that have waited for a while if neither datagrams nor answers came for a span. */
    void tellIfSilent(long spanNanos, long now) {
        if (now - heardAt <= spanNanos || now - progressAt <= spanNanos) {
            return;
        }
        List<Waiting> overdue = new ArrayList<>();
        outstanding.forEach((waiting, sentAt) -> {
            if (now - sentAt > LEAST_OVERDUE_NANOS) {
                overdue.add(waiting);
            }
        });
        if (overdue.isEmpty()) {
            return;
        }
        onFailure("silent", now);
        overdue.forEach(Waiting::onSilent);
    }

    /** A call to it went well. */
    public void onSuccess() {
        failures = 0;
    }

    /**
     * A call to it failed for a reason of the node or the link; it is passed over for a while that doubles.
     *
     * @param cause for the log
     * @param now in {@link System#nanoTime} terms
     */
    public void onFailure(String cause, long now) {
        long span = Math.min(LONGEST_SUSPICION_NANOS, FIRST_SUSPICION_NANOS << Math.min(failures, 5));
        failures++;
        suspectUntil = now + span;
        onSuspected.accept(this, cause);
    }
}
