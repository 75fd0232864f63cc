package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.NodeMetricNames;

/**
 * One request of a caller from its last byte to its final answer; confined to the event loop.
 *
 * <p>It is sent again after an attempt that was not run, whatever its kind; after one that may have run only if it is
 * repeatable and the fleet's budget for repeats has room. An attempt at a node that is no longer heard may still be
 * answered: it goes on beside the repeat, and the first good answer counts.
 */
final class EntryCall implements CallerCall {
    /** Owners that refuse cost a round trip each; after so many the fleet is full. */
    private static final int MOST_REFUSALS = 3;
    /**
     * Part of its objective that a request waits for slots, at all nodes together: longer waits make others late, and a
     * caller that is refused early can still come back.
     */
    private static final double LONGEST_WAIT = 0.4;
    /** An owner's last word may still be on its way when the deadline has passed. */
    private static final long LAST_WORD_NANOS = 10_000_000L;
    /** Part of the usual time that must be left for another run. */
    private static final double LEAST_TIME = 0.5;

    private static final double SHORTEST_RETRY_AFTER_S = 0.05;
    private static final double LONGEST_RETRY_AFTER_S = 1.0;
    private static final double USUAL_RETRY_AFTER_S = 0.25;
    /** Part of the answers at the first attempt that are logged. */
    private static final double LOGGED_SHARE = 0.02;

    private final EntryContext context;
    private final Route route;
    private final CallSpec spec;
    private final long receivedAt;
    private final long waitUntil;
    private final boolean returned;
    private final ReplySink sink;
    private final CallTrace trace;
    private final Set<String> tried = new HashSet<>();
    private final Set<String> busy = new HashSet<>();
    private Optional<EntryAttempt> live = Optional.empty();
    /** The attempt before, at a node that is not heard. */
    private Optional<EntryAttempt> unheard = Optional.empty();

    private Clock.Alarm deadline;
    private int attempts;
    private int mayHaveRun;
    private int refusals;
    private boolean repeatTaken;
    private boolean done;
    private long shortestWaitNanos = Long.MAX_VALUE;
    private Optional<Failure> failure = Optional.empty();
    private Optional<EntryAttempt> streaming = Optional.empty();

    EntryCall(
            EntryContext context,
            Route route,
            CallSpec spec,
            long receivedAt,
            long versionNumber,
            boolean returned,
            ReplySink sink) {
        this.context = context;
        this.route = route;
        this.spec = spec;
        this.receivedAt = receivedAt;
        this.waitUntil = receivedAt + (long) (LONGEST_WAIT * (spec.objectiveAt() - receivedAt));
        this.returned = returned;
        this.sink = sink;
        this.trace = new CallTrace(context, spec, route, versionNumber, receivedAt);
    }

    EntryContext context() {
        return context;
    }

    ReplySink sink() {
        return sink;
    }

    String id() {
        return spec.id();
    }

    @Override
    public void start() {
        long now = context.clock().now();
        context.budget().onRequest(spec.service(), now);
        if (returned) {
            context.returns().onReturned(spec.like());
        }
        deadline = context.clock().at(spec.deadlineAt() + LAST_WORD_NANOS, this::onDeadline);
        next(false);
    }

    /**
     * Sends the request to the best node that has not refused it; ends it if there is none.
     *
     * @param repeat whether a backend server was sent it before, so that the fleet's budget has to allow it
     */
    private void next(boolean repeat) {
        long now = context.clock().now();
        Optional<CandidateChooser.Choice> choice = refusals >= MOST_REFUSALS ? Optional.empty() : choose(now);
        if (choice.isPresent() && (!repeat || takeRepeat(now))) {
            launch(choice.get(), now);
            return;
        }
        conclude();
    }

    private Optional<CandidateChooser.Choice> choose(long now) {
        List<Candidate> candidates = context.candidates().of(spec.service(), tried, now);
        ChoiceQuestion question = new ChoiceQuestion(
                spec.like(),
                spec.answerBytes() + spec.body().length(),
                context.habits().expectedNanos(route),
                spec.objectiveAt() - now,
                spec.deadlineAt() - now,
                waitUntil - now,
                returned ? 0 : context.returns().share(spec.like()),
                refusals + 1 >= MOST_REFUSALS);
        return context.chooser().choose(candidates, question);
    }

    private void launch(CandidateChooser.Choice choice, long now) {
        attempts++;
        Candidate candidate = choice.candidate();
        tried.add(candidate.key());
        // An answer of this VM's own backend server does not go over the link.
        int linkBytes = candidate.member().isPresent() ? spec.answerBytes() : 0;
        CallSpec attempt = spec.forAttempt(attempts, choice.maxWaitNanos(), linkBytes);
        EntryAttempt listener = new EntryAttempt(this, candidate, now);
        live = Optional.of(listener);
        listener.use(context.starter().start(candidate, attempt, listener));
    }

    /** An attempt was not run. */
    void onRefused(EntryAttempt attempt, Refusal refusal) {
        if (done) {
            return;
        }
        if (leavesOther(attempt)) {
            mayHaveRun--;
            trace.onOutcome(attempt, refusal.reason().name());
            return;
        }
        refusals++;
        if (refusal.reason() == Refusal.Reason.BUSY
                && busy.add(attempt.candidate().key())) {
            // It told how busy it is; the others may be busier.
            tried.remove(attempt.candidate().key());
        }
        trace.onEnd(attempt, refusal.reason().name());
        context.counters().increment(NodeMetricNames.ENTRY_REFUSALS_BY_REASON + refusal.reason());
        if (refusal.load().slots() > 0) {
            long wait = refusal.load().waitNanos()
                    + refusal.load().meanNanos() / Math.max(1, refusal.load().slots());
            shortestWaitNanos = Math.min(shortestWaitNanos, wait);
        }
        if (refusal.reason() != Refusal.Reason.EXPIRED) {
            next(refusal.offered());
        } else {
            conclude();
        }
    }

    /** Takes out an attempt that is over; tells whether the repeat that was sent beside it goes on. */
    private boolean leavesOther(EntryAttempt attempt) {
        if (unheard.isPresent() && unheard.get() == attempt) {
            unheard = Optional.empty();
            return true;
        }
        live = Optional.empty();
        return false;
    }

    /**
     * Nothing is heard of an attempt's node. The VM may have lost power, which sends no reset, or only its datagrams
     * are lost; so the request is run elsewhere, too, if it may be.
     */
    void onUnheard(EntryAttempt attempt) {
        boolean settled = done || streaming.isPresent() || unheard.isPresent();
        if (settled || refusals >= MOST_REFUSALS || !mayRunAgain(mayHaveRun + 1)) {
            return;
        }
        long now = context.clock().now();
        Optional<CandidateChooser.Choice> choice = choose(now);
        if (choice.isEmpty() || !takeRepeat(now)) {
            return;
        }
        mayHaveRun++;
        unheard = live;
        trace.onOutcome(attempt, "UNHEARD");
        context.log()
                .write(
                        Event.ATTEMPT_UNHEARD,
                        "id",
                        spec.id(),
                        "at",
                        attempt.candidate().key());
        launch(choice.get(), now);
    }

    /** An attempt may have run, and brought nothing. */
    void onLost(EntryAttempt attempt, String cause) {
        if (done) {
            return;
        }
        boolean repeated = leavesOther(attempt);
        trace.onOutcome(attempt, "LOST");
        trace.setCause(cause);
        context.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "id",
                        spec.id(),
                        "at",
                        attempt.candidate().key(),
                        "cause",
                        cause,
                        "kind",
                        spec.kind());
        if (!repeated) {
            mayHaveRun++;
            retry();
        }
    }

    /** Sends it again after an attempt that may have run, if it may and can be; ends it otherwise. */
    private void retry() {
        if (mayRunAgain(mayHaveRun)) {
            next(true);
        } else {
            conclude();
        }
    }

    private boolean mayRunAgain(int runs) {
        long enough = (long) (context.habits().expectedNanos(route) * LEAST_TIME);
        return spec.kind().isRepeatable()
                && runs < Math.max(1, route.maxAttempts())
                && context.clock().now() + enough < spec.deadlineAt();
    }

    private boolean takeRepeat(long now) {
        RetryBudget budget = context.budget();
        boolean taken = failure.isPresent()
                ? budget.tryRepeatOfFailure(spec.service(), now)
                : budget.tryRepeat(spec.service(), now);
        if (taken) {
            repeatTaken = true;
            return true;
        }
        context.counters().increment(NodeMetricNames.ENTRY_REPEATS_DENIED);
        context.log().write(Event.RETRY_DENIED, "id", spec.id(), "service", spec.service());
        return false;
    }

    /** A whole answer of a backend server. */
    void onAnswer(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {
        if (done) {
            body.release();
            return;
        }
        boolean repeated = leavesOther(attempt);
        mayHaveRun += repeated ? 0 : 1;
        if (status >= 500 && spec.kind().isRepeatable()) {
            trace.onEnd(attempt, "status " + status);
            dropFailure();
            failure = Optional.of(new Failure(attempt, status, headers, body));
            if (!repeated) {
                retry();
            }
            return;
        }
        answer(attempt, status, headers, body);
    }

    /** A backend server's own failure, which is passed on if nothing better comes. */
    private record Failure(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {}

    private void dropFailure() {
        failure.ifPresent(f -> f.body().release());
        failure = Optional.empty();
    }

    /**
     * Ends the call with the best that there is: a backend server's failure, a refusal if it has not run, or neither.
     * Waits on if an attempt at an unheard node is still under way.
     */
    private void conclude() {
        if (unheard.isPresent()) {
            live = unheard;
            unheard = Optional.empty();
            mayHaveRun--;
        } else if (failure.isPresent()) {
            Failure f = failure.get();
            failure = Optional.empty();
            answer(f.attempt(), f.status(), f.headers(), f.body());
        } else if (mayHaveRun > 0) {
            fail();
        } else {
            refuse();
        }
    }

    private void answer(EntryAttempt attempt, int status, HttpHeaders headers, ByteBuf body) {
        context.habits().learnBytes(route, body.readableBytes());
        Candidate from = attempt.candidate();
        if (from.load().waitNanos(from.ahead()) == 0) {
            context.habits().learnNanos(route, context.clock().now() - attempt.startedAt());
        }
        finish();
        boolean good = status < 400;
        context.counters().increment(good ? NodeMetricNames.ENTRY_ANSWERED : NodeMetricNames.ENTRY_ANSWERED_ERRORS);
        log(
                good ? Event.CALL_ANSWERED : Event.CALL_FAILED,
                status,
                attempt.candidate().key());
        sink.reply(status, headers, body);
    }

    /** An answer turned out too large to be gathered; it goes out as it comes. */
    void onStreaming(EntryAttempt attempt, int status, HttpHeaders headers) {
        streaming = Optional.of(attempt);
        leavesOther(attempt);
        cancelAttempts();
        live = streaming;
        sink.begin(status, headers);
    }

    void onStreamed(EntryAttempt attempt, boolean whole) {
        finish();
        context.counters().increment(whole ? NodeMetricNames.ENTRY_STREAMED : NodeMetricNames.ENTRY_STREAMS_BROKEN);
        log(
                whole ? Event.CALL_ANSWERED : Event.CALL_FAILED,
                200,
                attempt.candidate().key());
        if (whole) {
            sink.end();
        } else {
            sink.breakOff();
        }
    }

    @Override
    public void endBy(long at) {
        if (done || at >= spec.deadlineAt()) {
            return;
        }
        context.clock().at(at, () -> {
            if (!done && streaming.isEmpty()) {
                giveUp("planned stop");
            }
        });
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (streaming.isPresent()) {
            EntryAttempt attempt = streaming.get();
            attempt.cancel();
            onStreamed(attempt, false);
            return;
        }
        giveUp("deadline");
    }

    private void giveUp(String why) {
        trace.onGivenUp(why);
        live.ifPresent(a -> {
            // A backend server is sent nothing of a request before all of it is at its owner.
            mayHaveRun += spec.body().isComplete() ? 1 : 0;
            trace.onOutcome(a, "PENDING");
        });
        unheard.ifPresent(a -> trace.onOutcome(a, "PENDING"));
        cancelAttempts();
        conclude();
    }

    private void refuse() {
        finish();
        double wait = shortestWaitNanos == Long.MAX_VALUE ? USUAL_RETRY_AFTER_S : shortestWaitNanos / 1e9;
        // Callers refused together would come back together.
        double spread = wait * (0.75 + 0.5 * context.chance().getAsDouble());
        double seconds = Math.max(SHORTEST_RETRY_AFTER_S, Math.min(LONGEST_RETRY_AFTER_S, spread));
        context.returns().onRefused(spec.like());
        context.counters().increment(NodeMetricNames.ENTRY_REFUSED);
        log(Event.CALL_REFUSED, 503, "");
        sink.reply(503, retryAfter(seconds), Unpooled.EMPTY_BUFFER);
    }

    /** Headers of a refusal that tells when to come back. */
    static HttpHeaders retryAfter(double seconds) {
        return Headers.empty().set("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
    }

    private void fail() {
        finish();
        boolean late = context.clock().now() >= spec.deadlineAt();
        int status = late ? 504 : 502;
        context.counters().increment(NodeMetricNames.ENTRY_FAILED);
        log(Event.CALL_FAILED, status, "");
        sink.reply(status, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void abandon() {
        if (done) {
            return;
        }
        finish();
        context.counters().increment(NodeMetricNames.ENTRY_ABANDONED);
        log(Event.CALL_ABANDONED, 0, "");
    }

    @Override
    public void readOn(boolean on) {
        streaming.ifPresent(a -> a.readOn(on));
    }

    private void finish() {
        done = true;
        if (deadline != null) {
            deadline.cancel();
        }
        cancelAttempts();
        dropFailure();
        spec.body().release();
    }

    private void cancelAttempts() {
        Optional<EntryAttempt> last = live;
        Optional<EntryAttempt> before = unheard;
        live = Optional.empty();
        unheard = Optional.empty();
        last.ifPresent(EntryAttempt::cancel);
        before.ifPresent(EntryAttempt::cancel);
    }

    private void log(Event event, int status, String at) {
        if (event == Event.CALL_ANSWERED && attempts == 1 && context.chance().getAsDouble() >= LOGGED_SHARE) {
            return;
        }
        trace.write(event, status, at, attempts, refusals, repeatTaken);
    }
}
