package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.quota.RequestQuota;

/**
 * One request of a caller, from the time its head (and a small body) has been read to its final response; confined to
 * the event loop.
 *
 * <p>If an attempt was not run, the request is sent to another node, whatever its kind. If the attempt may have run,
 * the request is retried only if it is idempotent and the retry budget allows it. An attempt at a node that has gone
 * silent may still be answered, so it continues alongside the retry, and the first response that is not a server
 * failure is used.
 */
final class EntryCall implements CallHandle {
    /**
     * Time after the deadline during which the entry still waits for a last message of the owner, which may be in
     * transit.
     */
    private static final long DEADLINE_GRACE_NANOS = 10_000_000L;
    /** A retry needs at least this fraction of the request's expected duration before the deadline. */
    private static final double MIN_RETRY_TIME_SHARE = 0.5;
    /** Fraction of the successful calls with a single attempt that are logged. */
    private static final double LOG_SAMPLE_RATE = 0.02;

    private final EntryContext context;
    private final Route route;
    private final CallSpec spec;
    private final long timeoutReductionNanos;
    private final boolean callerRetried;
    private final RequestQuota.Permit permit;
    private final ResponseSink sink;
    private final CallTrace trace;
    private final CallHedge hedge;
    private final NodeSelection selection;
    private final RunningAttempts running = new RunningAttempts();

    private EntryShares.CallShare share = EntryShares.CallShare.NONE;
    private Clock.Timer deadlineTimer;
    private int attempts;
    /** Number of attempts that may have run the request. */
    private int possibleRuns;

    private boolean retryGranted;
    private boolean done;
    private Optional<ServerFailure> serverFailure = Optional.empty();

    EntryCall(
            EntryContext context,
            Route route,
            CallSpec spec,
            long receivedAt,
            long versionNumber,
            long timeoutReductionNanos,
            RequestQuota.Permit permit,
            ResponseSink sink) {
        this.context = context;
        this.route = route;
        this.spec = spec;
        this.timeoutReductionNanos = timeoutReductionNanos;
        this.callerRetried = CallerWaitEstimator.withoutTolerance(timeoutReductionNanos) > 0;
        this.permit = permit;
        this.sink = sink;
        this.selection = new NodeSelection(context, route, spec, receivedAt, callerRetried);
        this.trace = new CallTrace(context, spec, route, versionNumber, receivedAt);
        this.hedge = TimedHedge.of(context, spec, this);
    }

    EntryContext context() {
        return context;
    }

    ResponseSink sink() {
        return sink;
    }

    String id() {
        return spec.id();
    }

    @Override
    public void start() {
        long now = context.clock().now();
        context.retryBudget().onRequest(spec.service(), now);
        hedge.onCallStarted();
        if (callerRetried) {
            context.callerRetryRates().onRetried(spec.requestClass());
        }
        if (spec.remainingNanos(now) <= 0) {
            // It waited too long for the requests ahead of it on its connection.
            refuse();
            return;
        }
        share = context.shares().onRequest(spec, timeoutReductionNanos, context.responseEstimates(), route, now);
        selection.setShare(share);
        deadlineTimer = context.clock().schedule(spec.deadlineAt() + DEADLINE_GRACE_NANOS, this::onDeadline);
        if (share.isReturnedEarly()) {
            selection.triedNodes().exhaust();
        }
        sendNext(false);
    }

    /**
     * Sends the request to the best node that is left; ends the call if there is none.
     *
     * @param isRetry whether a backend server has been sent the request before, so that the retry budget has to allow
     *     another attempt
     */
    private void sendNext(boolean isRetry) {
        long now = context.clock().now();
        if (remainingHoldNanos() > 0) {
            context.counters().increment(NodeMetricNames.ENTRY_QUARANTINED);
            trace.setCause("quarantined");
            conclude();
            return;
        }
        Optional<CandidateChooser.Choice> choice = selection.choose(now);
        if (choice.isPresent() && (!isRetry || tryTakeRetry(now))) {
            hedge.watch(startAttempt(choice.get(), now));
            return;
        }
        if (choice.isEmpty()) {
            hedge.onShortage();
        }
        conclude();
    }

    /** Time for which no backend server runs the request, because it has crashed some; 0 if it may be run. */
    private long remainingHoldNanos() {
        return context.quarantine().untilNextTrialNanos(spec.uri(), spec::fingerprint);
    }

    private EntryAttempt startAttempt(CandidateChooser.Choice choice, long now) {
        attempts++;
        context.quarantine().onAttemptStarted(spec.uri(), spec::fingerprint);
        Candidate candidate = choice.candidate();
        selection.triedNodes().onAttempt(candidate);
        // A response of the backend server on this VM does not use the network link.
        int linkResponseBytes = candidate.member().isPresent() ? spec.expectedResponseBytes() : 0;
        CallSpec attemptSpec = spec.forAttempt(
                attempts,
                choice.maxWaitNanos(),
                linkResponseBytes,
                context.quarantine().generation(spec.uri(), spec::fingerprint));
        EntryAttempt attempt = new EntryAttempt(this, candidate, now);
        running.start(attempt);
        attempt.setAttempt(context.starter().start(candidate, attemptSpec, attempt));
        return attempt;
    }

    /** Called when an attempt was not run. */
    void onRefused(EntryAttempt attempt, Refusal refusal) {
        if (done) {
            return;
        }
        hedge.onRefused(attempt, refusal);
        if (running.remove(attempt)) {
            possibleRuns--;
            trace.recordOutcome(attempt, refusal.reason().name());
            return;
        }
        // A hedge that its server has seen counts as a request to it.
        if (!refusal.rejectedByBackend() && tryResumeFirst(attempt)) {
            running.current().ifPresent(hedge::onNotRun);
            selection.triedNodes().forget(attempt.candidate());
            trace.recordOutcome(attempt, refusal.reason().name());
            return;
        }
        selection.triedNodes().onRefused(attempt.candidate(), refusal);
        if (share.onRefusedByOwner(refusal, context.clock().now())) {
            selection.triedNodes().exhaust();
        }
        trace.recordDecisiveOutcome(attempt, refusal.reason().name());
        context.counters().increment(NodeMetricNames.ENTRY_REFUSALS_BY_REASON + refusal.reason());
        if (refusal.reason() != Refusal.Reason.EXPIRED && refusal.reason() != Refusal.Reason.QUARANTINED) {
            sendNext(refusal.rejectedByBackend());
        } else {
            conclude();
        }
    }

    /** Called when an attempt has taken so long that a second one beside it may be worthwhile. */
    void onHedgeDue(EntryAttempt attempt) {
        boolean isOnlyAttempt = running.current().filter(a -> a == attempt).isPresent()
                && running.earlier().isEmpty()
                && running.streaming().isEmpty();
        if (done || !isOnlyAttempt || !mayRetry(possibleRuns + 1) || remainingHoldNanos() > 0) {
            return;
        }
        long now = context.clock().now();
        Optional<CandidateChooser.Choice> choice = hedge.choose(selection, attempt, now);
        if (choice.isEmpty()) {
            return;
        }
        possibleRuns++;
        running.keepCurrent();
        trace.recordOutcome(attempt, "SLOW");
        hedge.onSent(attempt, startAttempt(choice.get(), now));
    }

    /**
     * Lets the first attempt go on alone after its hedge has ended without a response to pass on.
     *
     * @return false if the attempt is no hedge, or the first attempt has ended
     */
    private boolean tryResumeFirst(EntryAttempt attempt) {
        if (!hedge.isHedge(attempt) || running.earlier().isEmpty()) {
            return false;
        }
        running.resumeEarlier();
        possibleRuns--;
        return true;
    }

    /**
     * Called when the node of an attempt has gone silent. Its VM may have lost power, in which case no connection reset
     * arrives, or only its datagrams may be lost. So the request is also sent to another node if it may be retried.
     */
    void onNodeSilent(EntryAttempt attempt) {
        boolean secondAttemptExcluded =
                done || running.streaming().isPresent() || running.earlier().isPresent();
        if (secondAttemptExcluded || !mayRetry(possibleRuns + 1) || remainingHoldNanos() > 0) {
            return;
        }
        long now = context.clock().now();
        Optional<CandidateChooser.Choice> choice = selection.choose(now);
        if (choice.isEmpty() || !tryTakeRetry(now)) {
            return;
        }
        possibleRuns++;
        running.keepCurrent();
        trace.recordOutcome(attempt, "UNHEARD");
        context.log()
                .write(
                        Event.ATTEMPT_UNHEARD,
                        "id",
                        spec.id(),
                        "at",
                        attempt.candidate().key());
        startAttempt(choice.get(), now);
    }

    /** Called when an attempt that may have run has failed without a response. */
    void onLost(EntryAttempt attempt, Loss loss) {
        loss.crash().ifPresent(context.quarantine()::merge);
        if (done) {
            return;
        }
        hedge.onEnded(attempt, false);
        boolean retryInProgress = running.remove(attempt);
        trace.recordOutcome(attempt, "LOST");
        trace.setCause(loss.cause());
        context.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "id",
                        spec.id(),
                        "at",
                        attempt.candidate().key(),
                        "cause",
                        loss.cause(),
                        "kind",
                        spec.kind());
        if (!retryInProgress) {
            possibleRuns++;
            if (!tryResumeFirst(attempt)) {
                retryOrConclude();
            }
        }
    }

    /** Retries the request after an attempt that may have run, if that is allowed; ends the call otherwise. */
    private void retryOrConclude() {
        if (mayRetry(possibleRuns)) {
            sendNext(true);
        } else {
            conclude();
        }
    }

    private boolean mayRetry(int possibleRunsSoFar) {
        long requiredNanos = (long) (context.responseEstimates().expectedNanos(route) * MIN_RETRY_TIME_SHARE);
        return spec.kind().isRetryable()
                && possibleRunsSoFar < Math.max(1, route.maxAttempts())
                && requiredNanos < spec.remainingNanos(context.clock().now());
    }

    private boolean tryTakeRetry(long now) {
        RetryBudget retryBudget = context.retryBudget();
        boolean granted = serverFailure.isPresent()
                ? retryBudget.tryAcquireAfterServerFailure(spec.service(), now)
                : retryBudget.tryAcquire(spec.service(), now);
        if (granted) {
            retryGranted = true;
            return true;
        }
        context.counters().increment(NodeMetricNames.ENTRY_REPEATS_DENIED);
        context.log().write(Event.RETRY_DENIED, "id", spec.id(), "service", spec.service());
        return false;
    }

    /** Called when a backend server's complete response to an attempt has arrived. */
    void onResponse(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {
        if (done) {
            body.release();
            return;
        }
        hedge.onEnded(attempt, true);
        boolean retryInProgress = running.remove(attempt);
        possibleRuns += retryInProgress ? 0 : 1;
        if (status >= 500 && spec.kind().isRetryable()) {
            trace.recordDecisiveOutcome(attempt, "status " + status);
            discardServerFailure();
            serverFailure = Optional.of(new ServerFailure(attempt, status, headers, body));
            if (!retryInProgress && !tryResumeFirst(attempt)) {
                retryOrConclude();
            }
            return;
        }
        hedge.onAnswered(attempt);
        respond(attempt, status, headers, body);
    }

    /** A backend server's response with a status of 500 or above, passed on if no attempt gets a better one. */
    private record ServerFailure(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {}

    private void discardServerFailure() {
        serverFailure.ifPresent(f -> f.body().release());
        serverFailure = Optional.empty();
    }

    /**
     * Ends the call with the best result available: a backend server's failure response, else an error if the request
     * may have run, else a refusal. If an attempt at a silent node is still in progress, goes on waiting for that.
     */
    private void conclude() {
        if (running.earlier().isPresent()) {
            running.resumeEarlier();
            possibleRuns--;
        } else if (serverFailure.isPresent()) {
            ServerFailure f = serverFailure.get();
            serverFailure = Optional.empty();
            respond(f.attempt(), f.status(), f.headers(), f.body());
        } else if (possibleRuns > 0) {
            fail();
        } else {
            refuse();
        }
    }

    private void respond(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {
        context.responseEstimates().recordBytes(route, body.readableBytes());
        Candidate candidate = attempt.candidate();
        if (candidate.waitNanos() == 0) {
            context.responseEstimates().recordNanos(route, context.clock().now() - attempt.startedAt());
        }
        finish();
        boolean success = status < 400;
        context.counters().increment(success ? NodeMetricNames.ENTRY_ANSWERED : NodeMetricNames.ENTRY_ANSWERED_ERRORS);
        log(
                success ? Event.CALL_ANSWERED : Event.CALL_FAILED,
                status,
                attempt.candidate().key());
        sink.respond(status, headers, body);
    }

    /** Called when a response turned out too large to buffer; from now on it is passed on as it arrives. */
    void onStreamingStarted(EntryAttempt attempt, int status, HttpHeaders headers) {
        hedge.onEnded(attempt, true);
        hedge.onAnswered(attempt);
        running.stream(attempt);
        sink.beginStream(status, headers);
    }

    /**
     * Called when the response being streamed has ended.
     *
     * @param attempt the attempt it belongs to
     * @param complete whether it is complete; otherwise the caller's connection is closed
     */
    void onStreamingEnded(EntryAttempt attempt, boolean complete) {
        finish();
        context.counters().increment(complete ? NodeMetricNames.ENTRY_STREAMED : NodeMetricNames.ENTRY_STREAMS_BROKEN);
        log(
                complete ? Event.CALL_ANSWERED : Event.CALL_FAILED,
                200,
                attempt.candidate().key());
        if (complete) {
            sink.endStream();
        } else {
            sink.abortStream();
        }
    }

    @Override
    public void concludeBy(long concludeAt) {
        if (done || concludeAt >= spec.deadlineAt()) {
            return;
        }
        context.clock().schedule(concludeAt, () -> {
            if (!done && running.streaming().isEmpty()) {
                concludeEarly("planned stop");
            }
        });
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (running.streaming().isPresent()) {
            EntryAttempt attempt = running.streaming().get();
            attempt.cancel();
            onStreamingEnded(attempt, false);
            return;
        }
        concludeEarly("deadline");
    }

    private void concludeEarly(String reason) {
        trace.recordAbort(reason);
        running.current().ifPresent(a -> {
            // An owner sends a request to its backend server only once it has all of the body.
            possibleRuns += spec.body().isComplete() ? 1 : 0;
            trace.recordOutcome(a, "PENDING");
        });
        running.earlier().ifPresent(a -> trace.recordOutcome(a, "PENDING"));
        running.cancelAll();
        conclude();
    }

    private void refuse() {
        long holdNanos = remainingHoldNanos();
        finish();
        permit.release();
        double random = context.random().getAsDouble();
        long now = context.clock().now();
        double returnFactor = holdNanos > 0 ? 1 : share.onRefused(spec, now);
        double retryAfterSeconds = holdNanos > 0
                ? holdNanos / 1e9
                : RetryAfter.untilShare(
                        selection.triedNodes().shortestWaitNanos(), spec.remainingNanos(now), returnFactor, random);
        context.callerRetryRates().onRefused(spec.requestClass());
        context.counters().increment(NodeMetricNames.ENTRY_REFUSED);
        log(Event.CALL_REFUSED, 503, "");
        sink.respond(503, RetryAfter.headers(retryAfterSeconds), Unpooled.EMPTY_BUFFER);
    }

    private void fail() {
        finish();
        boolean late = context.clock().now() >= spec.deadlineAt();
        int status = late ? 504 : 502;
        context.counters().increment(NodeMetricNames.ENTRY_FAILED);
        log(Event.CALL_FAILED, status, "");
        sink.respond(status, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void abandon() {
        if (done) {
            return;
        }
        finish();
        if (attempts == 0) {
            permit.release();
        }
        context.counters().increment(NodeMetricNames.ENTRY_ABANDONED);
        log(Event.CALL_ABANDONED, 0, "");
    }

    @Override
    public void setAutoRead(boolean autoRead) {
        running.streaming().ifPresent(a -> a.setAutoRead(autoRead));
    }

    private void finish() {
        done = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        running.cancelAll();
        hedge.onCallEnded();
        discardServerFailure();
        spec.body().release();
    }

    private void log(Event event, int status, String node) {
        if (event == Event.CALL_ANSWERED && attempts == 1 && context.random().getAsDouble() >= LOG_SAMPLE_RATE) {
            return;
        }
        trace.write(event, status, node, attempts, selection.triedNodes().refusals(), retryGranted);
    }
}
