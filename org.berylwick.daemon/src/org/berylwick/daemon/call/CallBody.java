package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;

/** The body of a call. */
sealed interface CallBody {
    /** A body that is small enough to be held and sent again; may be empty. */
    record Buffered(HttpData content) implements CallBody {}

    /** A body that passes through as the caller sends it, once. */
    record Streamed(HttpRequest request) implements CallBody {}

    /**
     * A body that passes through, taken from its caller's connection on that connection's own thread.
     *
     * <p>The connection stops being read while much of a body waits to be taken, and is read on when that was taken;
     * with the two on different threads "read on" could come before "stop", and about one in a hundred uploads to a
     * server that paused stood still for good.
     */
    static CallBody streamed(ServiceRequestContext context, HttpRequest request) {
        return new Streamed(request.subscribeOn(context.eventLoop().withoutContext()));
    }
}
