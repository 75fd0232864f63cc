package org.berylwick.node.call;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Why a request cannot be processed, so that its connection is closed after the response.
 *
 * @param status status code of the response
 * @param reason what is wrong, for the log
 */
record CallerFault(int status, String reason) {
    static final CallerFault BODY_TOO_LARGE = new CallerFault(413, "request body exceeds the size limit");
    static final CallerFault BODY_MALFORMED = new CallerFault(400, "malformed request body");
    static final CallerFault BODY_LATE = new CallerFault(408, "request body not received within the idle timeout");

    /** Returns the fault of a request head that the decoder failed to read. */
    static CallerFault ofHead(Throwable cause) {
        return switch (cause) {
            case TooLongHttpLineException e -> new CallerFault(414, "request line exceeds the size limit");
            case TooLongHttpHeaderException e -> new CallerFault(431, "request headers exceed the size limit");
            default -> new CallerFault(400, "malformed request");
        };
    }
}
