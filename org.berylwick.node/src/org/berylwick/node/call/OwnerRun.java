package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.KindTime;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.HttpConnection;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;

/** One request at its owner, waiting or running; confined to the event loop. */
final class OwnerRun implements Attempt, HttpResponseHandler, RequestBody.Subscriber {
    /** A reused connection that breaks within this had been dropped by the server while it was idle. */
    private static final long DROPPED_NANOS = 50_000_000L;
    /** What the answer needs from the backend server to the entry. */
    private static final long RETURN_NANOS = 5_000_000L;

    /**
     * Multiple of the usual time after which an answer is overdue; the tail of a sound server is five times as long.
     */
    private static final int OVERDUE = 5;

    private static final long LEAST_OVERDUE_NANOS = 300_000_000L;

    private final Owner owner;
    private final Clock clock;
    private final CallSpec call;
    private final AttemptListener listener;
    private final long dueAt;
    private final long number;
    private long queuedAt;
    private long expectedNanos;
    private long medianNanos;
    private long answerNanos;
    private long expectedBytes;
    private Clock.Alarm expiry;
    private ServerConnection connection;
    private Backend backend;
    private HeaderNames names;
    private long sentAt;
    private long idleNanos;
    private boolean over;
    private boolean headPassed;
    private boolean notRun;

    /**
     * @param owner that it is offered to
     * @param call the request
     * @param listener hears what becomes of it
     * @param forwardNanos by how much it is put before others
     */
    OwnerRun(Owner owner, CallSpec call, AttemptListener listener, long forwardNanos) {
        this.owner = owner;
        this.clock = owner.clock();
        this.call = call;
        this.listener = listener;
        this.dueAt = call.objectiveAt() + call.priority() * RunQueue.RANK_NANOS - forwardNanos;
        this.queuedAt = clock.now();
        this.number = owner.nextNumber();
        if (owner.outgoing().isLarge(call.answerBytes())) {
            this.answerNanos = owner.outgoing().transferNanos(call.answerBytes());
        }
    }

    CallSpec call() {
        return call;
    }

    /** When it should be answered, put off for its rank. */
    long dueAt() {
        return dueAt;
    }

    /** Tells apart requests that are due at the same time. */
    long number() {
        return number;
    }

    /** Sets what it is expected to take. */
    void expect(KindTime time) {
        expectedNanos = time.meanNanos();
        medianNanos = time.medianNanos();
    }

    /** How long it would wait for the link behind the large answers that go before its own. */
    long waitForLink() {
        if (answerNanos == 0) {
            return 0;
        }
        long others = owner.outgoing().busyNanos() - owner.outgoing().transferNanos(expectedBytes);
        return Math.max(0, others - medianNanos);
    }

    /** It is taken: others have its answer before them. */
    void announceAnswer() {
        expectedBytes = answerNanos == 0 ? 0 : call.answerBytes();
        owner.outgoing().adjustExpectedBytes(expectedBytes);
    }

    /** So many bytes of the answer are still to be read. */
    private void correctAnswer(long bytes) {
        long announced = answerNanos == 0 ? 0 : bytes;
        owner.outgoing().adjustExpectedBytes(announced - expectedBytes);
        expectedBytes = announced;
    }

    private void withdrawAnswer() {
        correctAnswer(0);
    }

    /** Whether the backend server has had it for much longer than usual without a word. */
    boolean isOverdue(long now) {
        long usual = Math.max(LEAST_OVERDUE_NANOS, OVERDUE * expectedNanos);
        return sentAt != 0 && !headPassed && now - sentAt > usual;
    }

    boolean isAnswering() {
        return headPassed;
    }

    boolean canMeetObjective(long now) {
        return now + medianNanos + answerNanos <= call.objectiveAt();
    }

    boolean canMeetDeadline(long now) {
        return now + medianNanos + answerNanos <= call.deadlineAt();
    }

    /** Waits until its body is whole; if that is kept back, no longer for its turn than its entry said. */
    void awaitBody() {
        boolean keptBack = call.body().isDeferred();
        expiry = clock.at(keptBack ? longestWait() : call.deadlineAt(), this::onWaitedEnough);
        call.body().subscribe(this);
    }

    private long longestWait() {
        return Math.min(call.deadlineAt(), queuedAt + call.maxWaitNanos());
    }

    /** It is its body's turn to come over the link. */
    void askForBody() {
        expiry.cancel();
        expiry = clock.at(call.deadlineAt(), this::onWaitedEnough);
        call.body().requestFromSender();
    }

    @Override
    public void onRequestBodyPart(ByteBuf part) {
        part.release();
        owner.onPart();
    }

    @Override
    public void onRequestBodyComplete() {
        if (over) {
            return;
        }
        expiry.cancel();
        queuedAt = clock.now();
        owner.onArrived(this);
    }

    /** Waits for a slot no longer than its entry said is better than another way. */
    void waitForSlot() {
        if (over || backend != null) {
            return;
        }
        expiry = clock.at(longestWait(), this::onWaitedEnough);
    }

    private void onWaitedEnough() {
        boolean expired = clock.now() >= call.deadlineAt();
        refuse(expired ? Refusal.Reason.EXPIRED : Refusal.Reason.BUSY, false);
    }

    private void expire() {
        if (over) {
            return;
        }
        if (sentAt == 0) {
            refuse(Refusal.Reason.EXPIRED, false);
            return;
        }
        lose("deadline passed at the backend server");
    }

    /** Sends it to the backend server. */
    void start(Backend to, HeaderNames headerNames) {
        backend = to;
        names = headerNames;
        if (expiry != null) {
            expiry.cancel();
        }
        expiry = clock.at(call.deadlineAt(), this::expire);
        long freshest = call.kind().isRepeatable() ? Long.MAX_VALUE : to.freshNanos();
        to.pool().acquire(freshest, this::send, this::onUnreachable);
    }

    private void onUnreachable(String cause) {
        if (over) {
            return;
        }
        owner.log().write(Event.RUN_FAILED, "id", call.id(), "incarnation", backend.incarnation(), "cause", cause);
        refuse(Refusal.Reason.UNREACHABLE, false);
    }

    private void send(ServerConnection to) {
        if (over) {
            to.returnUnused();
            return;
        }
        long now = clock.now();
        long left = (call.deadlineAt() - RETURN_NANOS - now) / 1_000_000;
        if (left <= 0) {
            to.returnUnused();
            refuse(Refusal.Reason.EXPIRED, false);
            return;
        }
        connection = to;
        sentAt = now;
        idleNanos = to.servedRequests() == 0 ? 0 : now - to.idleSince();
        HttpHeaders headers = Headers.copy(call.headers());
        headers.set(names.deadline(), left);
        headers.set(names.target(), backend.incarnation());
        headers.set(names.callerService(), call.callerService());
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), headers);
        HttpConnection.setContentLength(head, call.body().length());
        to.send(head, call.body(), this);
    }

    @Override
    public boolean matches(HttpResponse head) {
        String id = head.headers().get(names.requestId());
        if (id == null || id.equals(call.id())) {
            return true;
        }
        owner.counters().increment(NodeMetricNames.OWNER_DISCARDED);
        owner.log().write(Event.ANSWER_DISCARDED, "id", call.id(), "belongsTo", id);
        return false;
    }

    @Override
    public void onHead(HttpResponse head) {
        int status = head.status().code();
        HttpHeaders headers = head.headers();
        if (headers.contains(names.notRun()) || status == 421) {
            notRun = true;
            return;
        }
        boolean anonymous = headers.get(names.requestId()) == null;
        if (status < 300
                && (anonymous || !headers.contains(names.signature()) || headers.contains("Content-Encoding"))) {
            lose("answer without id, signature or plain body");
            return;
        }
        headPassed = true;
        correctAnswer(HttpUtil.getContentLength(head, expectedBytes));
        listener.onHead(status, Headers.endToEnd(headers), owner.load());
    }

    @Override
    public void onBody(ByteBuf part) {
        if (!headPassed) {
            part.release();
            return;
        }
        // From here on its bytes count as waiting for the link.
        correctAnswer(Math.max(0, expectedBytes - part.readableBytes()));
        listener.onBody(part);
    }

    @Override
    public void onEnd() {
        if (notRun) {
            backend.losses().onLost(clock.now());
            connection = null;
            refuse(Refusal.Reason.TURNED_AWAY, true);
            return;
        }
        long now = clock.now();
        backend.times().learn(call, now - sentAt);
        backend.onAnswered(now);
        connection = null;
        finish();
        owner.counters().increment(NodeMetricNames.OWNER_ANSWERED);
        listener.onEnd();
    }

    @Override
    public void onFailure(String cause) {
        connection = null;
        if (idleNanos > 0 && !headPassed && clock.now() - sentAt < DROPPED_NANOS) {
            backend.onIdleDropped(idleNanos);
        }
        lose(cause);
    }

    /** Ends it as not run. */
    void refuse(Refusal.Reason reason, boolean offered) {
        if (over) {
            return;
        }
        finish();
        listener.onRefused(new Refusal(reason, offered, owner.load()));
    }

    private void lose(String cause) {
        if (over) {
            return;
        }
        backend.losses().onLost(clock.now());
        closeConnection();
        finish();
        owner.counters().increment(NodeMetricNames.OWNER_LOST);
        owner.log()
                .write(
                        Event.RUN_FAILED,
                        "id",
                        call.id(),
                        "incarnation",
                        backend.incarnation(),
                        "cause",
                        cause,
                        "afterMs",
                        (clock.now() - sentAt) / 1_000_000);
        listener.onLost(cause);
    }

    private void finish() {
        over = true;
        withdrawAnswer();
        if (expiry != null) {
            expiry.cancel();
        }
        call.body().unsubscribe(this);
        owner.onOver(this);
    }

    private void closeConnection() {
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        if (sentAt != 0 && call.kind() == RouteKind.NON_IDEMPOTENT && !headPassed) {
            // It may have changed something already: let it finish, and drop the answer.
            return;
        }
        closeConnection();
        finish();
    }

    @Override
    public void readOn(boolean on) {
        if (connection != null) {
            connection.setAutoRead(on);
        }
    }
}
