package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;

/** Request body of a call. */
sealed interface CallBody {
    /** A body that is small enough to be buffered, so that it can be sent again; may be empty. */
    record Buffered(HttpData content) implements CallBody {}

    /** A body that is streamed through while the caller sends it; it can be sent only once. */
    record Streamed(HttpRequest request) implements CallBody {}

    /**
     * Creates a streamed body that is consumed on the event loop of the caller's connection.
     *
     * <p>For backpressure, the server library pauses reading from the connection while much of the body is unconsumed,
     * and resumes it afterwards. When the body was consumed on another thread, the resume could overtake the pause, and
     * about 1 in 100 uploads to a server that paused reading stalled forever.
     */
    static CallBody streamed(ServiceRequestContext context, HttpRequest request) {
        return new Streamed(request.subscribeOn(context.eventLoop().withoutContext()));
    }
}
