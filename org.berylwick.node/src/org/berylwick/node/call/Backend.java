package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.transport.ServerConnectionPool;

/**
 * State of one incarnation of the backend server beside this node, as its owner knows it; confined to the event loop.
 */
public final class Backend {
    /**
     * Initial limit on the idle time of a connection used for a non-idempotent request: the server may be closing one
     * that has been idle longer.
     */
    private static final long DEFAULT_MAX_IDLE_NANOS = 2_500_000_000L;
    /** Lower bound to which that limit is reduced if the backend server closes idle connections early. */
    private static final long MIN_MAX_IDLE_NANOS = 100_000_000L;

    private Incarnation incarnation;
    private final String service;
    private final ServerConnectionPool pool;
    private final CurrentSpeed speed = new CurrentSpeed();
    private final ServiceTimeEstimator serviceTimeEstimator = new ServiceTimeEstimator(speed);
    private final LossRate lossRate = new LossRate();
    private final ExitDetector exitDetector;
    /** Requests that were running when this incarnation ended. */
    private final List<RequestFingerprint> runningAtExit = new ArrayList<>();

    private final StartLimiter startLimiter = new StartLimiter();
    private RequestLimit requestLimit = RequestLimit.NONE;
    private long maxIdleNanos = DEFAULT_MAX_IDLE_NANOS;
    private String softwareVersion = "";
    private int slots;
    private BackendState state;
    private long sequence;
    private long warmUpEndsAt;
    private long lastReportAt;
    private long lastResponseAt;

    /**
     * @param report first report of the incarnation
     * @param pool connections to it
     * @param now time of the report
     * @param onExit called when the incarnation is found to have ended
     */
    Backend(BackendReport report, ServerConnectionPool pool, long now, Consumer<Backend> onExit) {
        this.incarnation = report.incarnation();
        this.service = report.service();
        this.pool = pool;
        this.exitDetector = new ExitDetector(pool, () -> onExit.accept(this));
        applyReport(report, now);
    }

    /** The start of the backend server. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /**
     * Whether a report comes from the incarnation that a health check found ready. The answer of a health check does
     * not state when the backend server started.
     */
    boolean isFirstReportAfterHealthCheck(BackendReport report) {
        return sequence < 0
                && state == BackendState.READY
                && !incarnation.hasBorn()
                && incarnation.id().equals(report.incarnation().id());
    }

    void setIncarnation(Incarnation reported) {
        incarnation = reported;
    }

    /** The service that the backend server provides. */
    public String service() {
        return service;
    }

    /** Whether the backend server accepts requests. */
    public BackendState state() {
        return state;
    }

    /** Number of requests that the backend server runs concurrently. */
    public int slots() {
        return slots;
    }

    /** Version of its software, empty if it is unknown. */
    public String softwareVersion() {
        return softwareVersion;
    }

    /** Sequence number of the last report. */
    public long sequence() {
        return sequence;
    }

    /**
     * Time of the last report or response. Responses count, because heartbeats may be delayed while the backend server
     * is available.
     */
    public long lastActivityAt() {
        return Math.max(lastReportAt, lastResponseAt);
    }

    /** Remaining time for which the backend server is slow after its start. */
    public long warmUpNanos(long now) {
        return Math.max(0, warmUpEndsAt - now);
    }

    /** Number of connections opened to this incarnation. */
    public long connectionsOpened() {
        return pool.openedCount();
    }

    ServerConnectionPool pool() {
        return pool;
    }

    /** Rate of requests that it accepts, as stated in its latest response with a valid statement. */
    RequestLimit requestLimit() {
        return requestLimit;
    }

    /** Stores the limit of a response; returns whether it differs from the previous one. */
    boolean updateRequestLimit(RequestLimit stated, long now) {
        if (stated instanceof RequestLimit.Invalid || stated.equals(requestLimit)) {
            return false;
        }
        requestLimit = stated;
        startLimiter.setLimit(stated, now);
        return true;
    }

    /** Spaces the requests that are sent to this incarnation. */
    StartLimiter startLimiter() {
        return startLimiter;
    }

    /** Maximum idle time of a connection that is used for a non-idempotent request. */
    long maxIdleNanos() {
        return maxIdleNanos;
    }

    /**
     * Lowers the idle limit: a request on an idle connection failed, so the server closes them earlier than announced.
     */
    void onIdleConnectionReset(long idleNanos) {
        maxIdleNanos = Math.max(MIN_MAX_IDLE_NANOS, Math.min(maxIdleNanos, idleNanos / 2));
    }

    ExitDetector exitDetector() {
        return exitDetector;
    }

    List<RequestFingerprint> runningAtExit() {
        return runningAtExit;
    }

    LossRate lossRate() {
        return lossRate;
    }

    /** Records the end of a response. */
    void onResponse(long now) {
        lossRate.onResponse(now);
        lastResponseAt = now;
    }

    CurrentSpeed speed() {
        return speed;
    }

    ServiceTimeEstimator serviceTimeEstimator() {
        return serviceTimeEstimator;
    }

    /**
     * Applies a report of an incarnation that has not left; returns whether the state, the slots or the version
     * changed.
     */
    boolean applyReport(BackendReport report, long now) {
        boolean versionChanged =
                !report.softwareVersion().isEmpty() && !softwareVersion.equals(report.softwareVersion());
        if (versionChanged) {
            softwareVersion = report.softwareVersion();
        }
        boolean changed = state != report.state() || slots != report.slots() || versionChanged;
        state = report.state();
        slots = Math.max(1, report.slots());
        sequence = report.sequence();
        warmUpEndsAt = now + report.warmUpNanos();
        lastReportAt = now;
        return changed;
    }

    void startDraining() {
        state = BackendState.DRAINING;
    }

    void markAbsent() {
        state = BackendState.ABSENT;
    }

    /**
     * Whether a report of another incarnation is a delayed heartbeat of an earlier one. Such a heartbeat carries a
     * higher sequence number than this incarnation, which has just started and reported within {@code recentNanos}. An
     * incarnation that is known only from a {@link BackendProbe} and has sent no report is never more recent.
     */
    boolean isMoreRecentThan(BackendReport report, long recentNanos, long now) {
        return sequence >= 0
                && state != BackendState.ABSENT
                && report.sequence() > sequence
                && now - lastReportAt < recentNanos;
    }
}
