package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;

/**
 * Reads what a backend server states about itself in the heads of its responses: a limit on its requests, its current
 * speed, and that it leaves. Confined to the event loop.
 */
final class BackendStatements {
    /** Value of the header with which a backend server states that it is about to stop. */
    private static final String LEAVING = "1";

    private final Clock clock;
    private final HeaderNames headerNames;
    private final EventLog log;
    private final Consumer<Backend> onLeaving;
    private final Runnable onLimitChanged;

    /**
     * @param clock time source
     * @param headerNames names of the headers
     * @param log receives events
     * @param onLeaving called with the backend server for each response in which it states that it leaves
     * @param onLimitChanged called after another limit has been applied to a backend server
     */
    BackendStatements(
            Clock clock, HeaderNames headerNames, EventLog log, Consumer<Backend> onLeaving, Runnable onLimitChanged) {
        this.clock = clock;
        this.headerNames = headerNames;
        this.log = log;
        this.onLeaving = onLeaving;
        this.onLimitChanged = onLimitChanged;
    }

    static boolean isLeaving(HttpHeaders headers, HeaderNames headerNames) {
        return LEAVING.equals(headers.get(headerNames.leaving()));
    }

    void onResponseHead(Backend responder, HttpHeaders headers) {
        if (isLeaving(headers, headerNames)) {
            onLeaving.accept(responder);
        }
        BackendLoadHeader.slowdown(headers.get(headerNames.load()))
                .ifPresent(factor -> responder.speed().onFigure(factor, clock.now()));
        RequestLimit stated = RequestLimit.parse(headers.getAll(headerNames.requestLimit()));
        if (stated instanceof RequestLimit.Invalid invalid) {
            log.write(
                    Event.BACKEND_LIMIT_IGNORED,
                    "incarnation",
                    responder.incarnation().text(),
                    "limit",
                    invalid.text());
        }
        RequestLimit previous = responder.requestLimit();
        if (!responder.updateRequestLimit(stated, clock.now())) {
            return;
        }
        log.write(
                Event.BACKEND_LIMIT_CHANGED,
                "incarnation",
                responder.incarnation().text(),
                "limit",
                stated,
                "previous",
                previous);
        clock.defer(onLimitChanged);
    }
}
