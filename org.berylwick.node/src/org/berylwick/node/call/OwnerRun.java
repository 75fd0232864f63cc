package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.HttpConnection;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;

/** A request that waits or runs at the owner of its backend server; confined to the event loop. */
final class OwnerRun implements Attempt, HttpResponseHandler, RequestBody.Subscriber {
    /**
     * If a reused connection fails within this time after a request was sent, the server is taken to have closed it
     * while it was idle.
     */
    private static final long IDLE_RESET_WINDOW_NANOS = 50_000_000L;
    /**
     * Time reserved for the response to travel from the backend server to the entry node; the deadline passed to the
     * backend server is earlier by this.
     */
    private static final long RESPONSE_TRANSIT_NANOS = 5_000_000L;

    /**
     * Multiple of the mean service time after which a response is overdue; the slowest responses of a healthy server
     * take up to five times the usual time.
     */
    private static final int OVERDUE_FACTOR = 5;

    private static final long MIN_OVERDUE_NANOS = 300_000_000L;
    /** Time for which a loss is not reported while it is checked whether the backend server has ended. */
    private static final long MAX_EXIT_CHECK_NANOS = 50_000_000L;

    /**
     * Time by which a call is moved forward in the queue. A run that waits for it holds a slot of another backend
     * server meanwhile, and is lost if the call is refused.
     */
    private static final long CALL_ADVANCE_NANOS = 1_000_000_000L;

    /** Limit on the idle time that no idle connection meets. */
    private static final long NEW_CONNECTION = -1;

    private final Owner owner;
    private final Clock clock;
    private final CallSpec call;
    private final AttemptListener listener;
    private final boolean isCall;
    private final long effectiveObjectiveAt;
    private final long arrivalNumber;
    private long waitStartedAt;
    private long meanServiceNanos;
    private long medianServiceNanos;
    private final ResponseAnnouncement announcement;
    private Clock.Timer timer;
    private ServerConnection connection;
    private Backend backend;
    private HeaderNames headerNames;
    private long sentAt;
    private CurrentSpeed speed = CurrentSpeed.NOT_STATED;
    private double factorWhenSent;
    private long connectionIdleNanos;
    /** Crashes of the request in succession that were known when it was sent. */
    private int knownCrashes;

    private boolean finished;
    private boolean failed;
    private boolean headForwarded;
    private boolean notExecuted;
    private boolean closeDelimited;

    /**
     * @param owner owner of the backend server to which the request is offered
     * @param call the request
     * @param listener is notified of the response, the refusal or the loss of the request
     * @param advanceNanos time by which the request is moved forward in the queue; see {@link StartRateBalancer}
     * @param isCall whether a backend server makes the request while it runs another
     */
    OwnerRun(Owner owner, CallSpec call, AttemptListener listener, long advanceNanos, boolean isCall) {
        this.owner = owner;
        this.clock = owner.clock();
        this.call = call;
        this.listener = listener;
        this.isCall = isCall;
        this.effectiveObjectiveAt = call.objectiveAt()
                + call.priority() * RequestQueue.PRIORITY_STEP_NANOS
                - advanceNanos
                - (isCall ? CALL_ADVANCE_NANOS : 0);
        this.waitStartedAt = clock.now();
        this.arrivalNumber = owner.nextArrivalNumber();
        this.announcement = new ResponseAnnouncement(owner.outgoingLink(), call.expectedResponseBytes());
    }

    CallSpec call() {
        return call;
    }

    /**
     * Sort key in the queue: the latency objective, later for a lower priority and earlier for a class of requests that
     * was served less often than others.
     */
    long effectiveObjectiveAt() {
        return effectiveObjectiveAt;
    }

    /** Order of arrival, for requests with the same effective objective. */
    long arrivalNumber() {
        return arrivalNumber;
    }

    /**
     * Sets the expected service time of the request.
     *
     * @param time the service time at the mean speed of the backend server
     * @param serverSpeed the speed of the backend server
     */
    void setServiceTime(ServiceTimeDistribution time, CurrentSpeed serverSpeed) {
        speed = serverSpeed;
        meanServiceNanos = time.meanNanos();
        medianServiceNanos = time.medianNanos();
    }

    /** The announcement of the response to the outgoing link. */
    ResponseAnnouncement announcement() {
        return announcement;
    }

    /** Time for which the response is expected to wait for the outgoing link. */
    long linkWaitNanos() {
        return announcement.waitNanos(medianServiceNanos);
    }

    /**
     * Whether no response head has arrived although the request was sent longer ago than a multiple of the mean service
     * time.
     */
    boolean isOverdue(long now) {
        long thresholdNanos = Math.max(MIN_OVERDUE_NANOS, OVERDUE_FACTOR * meanServiceNanos);
        return sentAt != 0 && !headForwarded && now - sentAt > thresholdNanos;
    }

    boolean isResponding() {
        return headForwarded;
    }

    /** Whether the request is served in time. A call is if the run that waits for it gets a response at all. */
    boolean canMeetObjective(long now) {
        if (isCall) {
            return canMeetDeadline(now);
        }
        return now + expectedServiceNanos(now) + announcement.transferNanos() <= call.objectiveAt();
    }

    boolean canMeetDeadline(long now) {
        return now + expectedServiceNanos(now) + announcement.transferNanos() <= call.deadlineAt();
    }

    boolean canMeetDeadlineAtUsualSpeed(long now) {
        return now + medianServiceNanos + announcement.transferNanos() <= call.deadlineAt();
    }

    private long expectedServiceNanos(long startsAt) {
        return speed.slowdownAt(startsAt).expectedNanos(medianServiceNanos);
    }

    /**
     * Waits for the complete body. If the sender holds the body back until it is requested, the time until that request
     * is limited to the maximum wait set by the entry node.
     */
    void awaitBody() {
        boolean awaitsContinue = call.body().isDeferred();
        timer = clock.schedule(awaitsContinue ? maxWaitEndsAt() : call.deadlineAt(), this::onWaitTimeout);
        call.body().subscribe(this);
    }

    private long maxWaitEndsAt() {
        return Math.min(call.deadlineAt(), waitStartedAt + call.maxWaitNanos());
    }

    /** Requests the body from the sender, because it is the next one to be transferred over the link. */
    void requestBodyTransfer() {
        timer.cancel();
        timer = clock.schedule(call.deadlineAt(), this::onWaitTimeout);
        call.body().requestFromSender();
    }

    @Override
    public void onRequestBodyPart(ByteBuf part) {
        part.release();
        owner.onBodyPart();
    }

    @Override
    public void onRequestBodyComplete() {
        if (finished) {
            return;
        }
        timer.cancel();
        waitStartedAt = clock.now();
        owner.onBodyComplete(this);
    }

    /**
     * Limits the wait for a slot to the maximum set by the entry node, after which an attempt elsewhere is better than
     * waiting longer.
     */
    void startSlotTimeout() {
        if (finished || backend != null) {
            return;
        }
        timer = clock.schedule(maxWaitEndsAt(), this::onWaitTimeout);
    }

    private void onWaitTimeout() {
        refuse(clock.now() >= call.deadlineAt() ? Refusal.Reason.EXPIRED : Refusal.Reason.BUSY, false);
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        if (sentAt == 0) {
            refuse(Refusal.Reason.EXPIRED, false);
            return;
        }
        failAsLost(Loss.of("deadline passed at the backend server"));
    }

    /** Sends the request to the backend server; a non-idempotent one only on a new or recently used connection. */
    void start(Backend target, HeaderNames backendHeaderNames) {
        backend = target;
        headerNames = backendHeaderNames;
        knownCrashes = Math.max(call.knownCrashes(), owner.quarantine().generation(call.uri(), call::fingerprint));
        if (timer != null) {
            timer.cancel();
        }
        timer = clock.schedule(call.deadlineAt(), this::onDeadline);
        long maxIdleNanos = call.kind().isRetryable() ? Long.MAX_VALUE : target.maxIdleNanos();
        target.pool().acquire(maxIdleNanos, this::send, this::onConnectFailed);
    }

    private void onConnectFailed(String cause) {
        if (finished) {
            return;
        }
        owner.log()
                .write(
                        Event.RUN_FAILED,
                        "id",
                        call.id(),
                        "incarnation",
                        backend.incarnation().text(),
                        "cause",
                        cause);
        backend.exitDetector().check(exited -> {});
        refuse(Refusal.Reason.UNREACHABLE, false);
    }

    private void send(ServerConnection acquired) {
        if (finished) {
            acquired.returnUnused();
            return;
        }
        if (acquired.hasCarried(call.id())) {
            acquired.returnUnused();
            backend.pool().acquire(NEW_CONNECTION, this::send, this::onConnectFailed);
            return;
        }
        long now = clock.now();
        long remainingMillis = (call.deadlineAt() - RESPONSE_TRANSIT_NANOS - now) / 1_000_000;
        if (remainingMillis <= 0) {
            acquired.returnUnused();
            refuse(Refusal.Reason.EXPIRED, false);
            return;
        }
        if (backend.state() == BackendState.DRAINING) {
            acquired.returnUnused();
            refuse(Refusal.Reason.NOT_HERE, false);
            return;
        }
        connection = acquired;
        sentAt = now;
        factorWhenSent = backend.speed().factorAt(now);
        connectionIdleNanos = acquired.servedRequests() == 0 ? 0 : now - acquired.idleSince();
        String incarnationId = backend.incarnation().id();
        acquired.send(BackendRequestHead.of(call, headerNames, incarnationId, remainingMillis), call.body(), this);
    }

    @Override
    public Origin originOf(HttpResponse head, boolean connectionReused, boolean statusLineInValue) {
        Origin origin = BackendResponseHead.originOf(head, call.id(), headerNames, connectionReused, statusLineInValue);
        if (origin == Origin.OTHER) {
            owner.onOtherResponse(call.id(), head.headers().get(headerNames.requestId()));
        }
        return origin;
    }

    @Override
    public boolean isRepeatable() {
        return call.kind().isRetryable();
    }

    @Override
    public String requestId() {
        return call.id();
    }

    @Override
    public void onHead(HttpResponse head) {
        int status = head.status().code();
        failed = status >= 500;
        owner.onResponseHead(backend, head.headers());
        if (BackendResponseHead.isRefusal(head, headerNames)) {
            notExecuted = true;
            return;
        }
        if (BackendResponseHead.isInvalidSuccess(head, headerNames)) {
            failAsLost(Loss.of("answer without id, signature or plain body"));
            return;
        }
        headForwarded = true;
        closeDelimited = HttpConnection.isCloseDelimited(head);
        announcement.onLength(HttpUtil.getContentLength(head, -1L));
        listener.onHead(status, Headers.endToEnd(head.headers()), owner.load());
    }

    @Override
    public void onBody(ByteBuf part) {
        if (!headForwarded) {
            part.release();
            return;
        }
        announcement.onPart(part.readableBytes());
        listener.onBody(part);
    }

    @Override
    public void onEnd() {
        connection = null;
        if (notExecuted) {
            backend.lossRate().onLost(clock.now());
            refuse(Refusal.Reason.TURNED_AWAY, true);
            return;
        }
        if (closeDelimited && backend.state() != BackendState.DRAINING) {
            // A process that ends in the middle of a response ends its streams as one that has sent all of it.
            checkExit("ended with its process", this::complete);
            return;
        }
        complete();
    }

    private void complete() {
        if (finished) {
            return;
        }
        long now = clock.now();
        double factor = (factorWhenSent + backend.speed().factorAt(now)) / 2;
        backend.serviceTimeEstimator().addSample(call, now - sentAt, factor);
        owner.onRunEnded(backend, call, now - sentAt, failed);
        backend.onResponse(now);
        owner.quarantine().onCompleted(call.uri(), call::fingerprint);
        finish();
        owner.counters().increment(NodeMetricNames.OWNER_ANSWERED);
        listener.onEnd();
    }

    @Override
    public void onFailure(String cause) {
        connection = null;
        if (connectionIdleNanos > 0 && !headForwarded && clock.now() - sentAt < IDLE_RESET_WINDOW_NANOS) {
            backend.onIdleConnectionReset(connectionIdleNanos);
        }
        checkExit(cause, () -> failAsLost(Loss.of(cause)));
    }

    @Override
    public void onInvalidResponse(String cause) {
        // The server has not closed the connection while it was idle.
        connectionIdleNanos = 0;
        onFailure(cause);
    }

    /** Ends the request as lost if the backend server has ended; runs a task if it has not, or if that is unknown. */
    private void checkExit(String cause, Runnable otherwise) {
        Optional<RequestFingerprint> fingerprint = call.fingerprint();
        backend.exitDetector().check(exited -> {
            if (exited) {
                failAsLost(new Loss(cause, fingerprint.flatMap(f -> owner.onCrashed(backend, f, knownCrashes))));
            } else {
                otherwise.run();
            }
        });
        // The entry does not wait for a check that takes long; a crash that is found out later is still recorded.
        clock.schedule(clock.now() + MAX_EXIT_CHECK_NANOS, otherwise);
    }

    /**
     * Ends the request as not run.
     *
     * @param reason why it was not run
     * @param rejectedByBackend whether the backend server received the request and rejected it
     */
    void refuse(Refusal.Reason reason, boolean rejectedByBackend) {
        if (finished) {
            return;
        }
        finish();
        listener.onRefused(new Refusal(reason, rejectedByBackend, owner.load()));
    }

    private void failAsLost(Loss loss) {
        if (finished) {
            return;
        }
        backend.lossRate().onLost(clock.now());
        owner.onRunEnded(backend, call, clock.now() - sentAt, true);
        closeConnection();
        finish();
        owner.counters().increment(NodeMetricNames.OWNER_LOST);
        owner.log()
                .write(
                        Event.RUN_FAILED,
                        "id",
                        call.id(),
                        "incarnation",
                        backend.incarnation().text(),
                        "cause",
                        loss.cause(),
                        "afterMs",
                        (clock.now() - sentAt) / 1_000_000,
                        "request",
                        call.fingerprint().map(RequestFingerprint::toString).orElse(""));
        listener.onLost(loss);
    }

    private void finish() {
        finished = true;
        announcement.withdraw();
        if (timer != null) {
            timer.cancel();
        }
        call.body().unsubscribe(this);
        owner.onFinished(this);
    }

    private void closeConnection() {
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    @Override
    public void cancel() {
        if (finished) {
            return;
        }
        if (sentAt != 0 && call.kind() == RouteKind.NON_IDEMPOTENT && !headForwarded) {
            // The request may already have had an effect: let it finish, and discard the response.
            return;
        }
        if (sentAt == 0) {
            owner.counters().increment(NodeMetricNames.OWNER_CANCELLED_WAITING);
        }
        closeConnection();
        finish();
    }

    @Override
    public void setAutoRead(boolean autoRead) {
        if (connection != null) {
            connection.setAutoRead(autoRead);
        }
    }
}
