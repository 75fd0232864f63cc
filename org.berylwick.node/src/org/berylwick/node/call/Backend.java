package org.berylwick.node.call;

import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.transport.ServerConnectionPool;

/** One incarnation of the backend server beside this node, as its owner knows it; confined to the event loop. */
public final class Backend {
    /** A request that must run once takes no connection that has been idle longer: the server may be closing it. */
    private static final long FRESH_NANOS = 2_500_000_000L;
    /** The least of that, once a backend server was seen to drop idle connections. */
    private static final long LEAST_FRESH_NANOS = 100_000_000L;

    private final String incarnation;
    private final String service;
    private final ServerConnectionPool pool;
    private final ServiceTimes times = new ServiceTimes();
    private final LossShare losses = new LossShare();
    private long freshNanos = FRESH_NANOS;
    private int slots;
    private BackendState state;
    private long sequence;
    private long warmAt;
    private long reportedAt;
    private long answeredAt;

    Backend(BackendReport report, ServerConnectionPool pool, long now) {
        this.incarnation = report.incarnation();
        this.service = report.service();
        this.pool = pool;
        update(report, now);
    }

    /** Id of this start of the backend server. */
    public String incarnation() {
        return incarnation;
    }

    /** The service it serves. */
    public String service() {
        return service;
    }

    /** Whether it takes work. */
    public BackendState state() {
        return state;
    }

    /** Requests it runs at once. */
    public int slots() {
        return slots;
    }

    /** The number of its last report. */
    public long sequence() {
        return sequence;
    }

    /** When it last reported or answered a request: heartbeats alone may be held up on the way. */
    public long heardAt() {
        return Math.max(reportedAt, answeredAt);
    }

    /** How much longer it is slow after its start. */
    public long warmUpNanos(long now) {
        return Math.max(0, warmAt - now);
    }

    /** Connections opened to it since it joined. */
    public long connectionsOpened() {
        return pool.openedCount();
    }

    ServerConnectionPool pool() {
        return pool;
    }

    /** How long a connection may have been idle that a request takes which must run once. */
    long freshNanos() {
        return freshNanos;
    }

    /** A request on a connection that had been idle was reset: the server drops them sooner than it says. */
    void onIdleDropped(long idleNanos) {
        freshNanos = Math.max(LEAST_FRESH_NANOS, Math.min(freshNanos, idleNanos / 2));
    }

    LossShare losses() {
        return losses;
    }

    /** It answered a request. */
    void onAnswered(long now) {
        losses.onAnswered(now);
        answeredAt = now;
    }

    ServiceTimes times() {
        return times;
    }

    /** Takes over a report; true if anything but its number changed. */
    boolean update(BackendReport report, long now) {
        boolean changed = state != report.state() || slots != report.slots();
        // Once it drains it never takes work again: a report that says otherwise is older than it looks.
        if (state == BackendState.DRAINING) {
            changed = false;
        } else {
            state = report.state();
        }
        slots = Math.max(1, report.slots());
        sequence = report.sequence();
        warmAt = now + report.warmUpNanos();
        reportedAt = now;
        return changed;
    }

    void drain() {
        state = BackendState.DRAINING;
    }

    void fallSilent() {
        state = BackendState.ABSENT;
    }

    /**
     * Whether a report of another incarnation is older than this one: a late heartbeat carries a higher number than one
     * that has just started, and this one was heard a moment ago. One that was only asked, and has reported nothing,
     * gives way.
     */
    boolean supersedes(BackendReport report, long spanNanos, long now) {
        return sequence >= 0
                && state == BackendState.READY
                && report.sequence() > sequence
                && now - reportedAt < spanNanos;
    }
}
