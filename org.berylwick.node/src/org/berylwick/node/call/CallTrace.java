package org.berylwick.node.call;

import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Event;

/** Collects the outcomes of a call's attempts for the call's log line; confined to the event loop. */
final class CallTrace {
    private final EntryContext context;
    private final CallSpec spec;
    private final Route route;
    private final long versionNumber;
    private final long receivedAt;
    private final StringBuilder outcomes = new StringBuilder();
    private String cause = "";

    CallTrace(EntryContext context, CallSpec spec, Route route, long versionNumber, long receivedAt) {
        this.context = context;
        this.spec = spec;
        this.route = route;
        this.versionNumber = versionNumber;
        this.receivedAt = receivedAt;
    }

    /** Records the outcome of an attempt. */
    void recordOutcome(EntryAttempt attempt, String outcome) {
        String nodeKey = attempt.candidate().key();
        outcomes.append(outcomes.isEmpty() ? "" : " ")
                .append(nodeKey.isEmpty() ? "self" : nodeKey)
                .append('=')
                .append(outcome)
                .append('+')
                .append((context.clock().now() - receivedAt) / 1_000_000)
                .append("ms");
    }

    /** Records the outcome of an attempt as the cause of what the call does next. */
    void recordDecisiveOutcome(EntryAttempt attempt, String outcome) {
        recordOutcome(attempt, outcome);
        cause = outcome;
    }

    void setCause(String newCause) {
        cause = newCause;
    }

    /** Records why the call is ended early, for example at its deadline, and keeps an earlier cause in the text. */
    void recordAbort(String reason) {
        cause = cause.isEmpty() ? reason : reason + ", before that " + cause;
    }

    void write(Event event, int status, String respondingNode, int attempts, int refusals, boolean retried) {
        context.log()
                .write(
                        event,
                        "id",
                        spec.id(),
                        "status",
                        status,
                        "route",
                        route.name(),
                        "version",
                        versionNumber,
                        "organisation",
                        spec.organisation().name(),
                        "service",
                        spec.service(),
                        "at",
                        respondingNode,
                        "attempts",
                        attempts,
                        "refusals",
                        refusals,
                        "repeat",
                        retried,
                        "tried",
                        outcomes,
                        "cause",
                        cause,
                        "ms",
                        (context.clock().now() - receivedAt) / 1_000_000,
                        "leftMs",
                        (spec.deadlineAt() - context.clock().now()) / 1_000_000);
    }
}
