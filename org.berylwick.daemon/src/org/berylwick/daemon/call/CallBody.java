package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;

/** The body of a call. */
sealed interface CallBody {
    /** A body that is small enough to be held and sent again; may be empty. */
    record Held(HttpData content) implements CallBody {}

    /** A body that passes through as the caller sends it, once. */
    record Streamed(HttpRequest request) implements CallBody {}
}
