package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeadersBuilder;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Set;

/** The header names that daemons add to calls, and which headers never travel on. */
final class CallHeaders {
    /** Prefix of all headers that only daemons may set. */
    static final String INTERNAL_PREFIX = "berylwick-";

    /** Request, entry to owner: the instance that is meant, so that a reused address is noticed. */
    static final AsciiString INSTANCE = AsciiString.cached("berylwick-instance");

    /** Request, entry to owner: name of the traffic class. */
    static final AsciiString TRAFFIC_CLASS = AsciiString.cached("berylwick-class");

    /** Request, entry to owner: milliseconds within which the head of the answer must be there. */
    static final AsciiString RESPONSE_START_TIMEOUT_MILLIS = AsciiString.cached("berylwick-head-ms");

    /** Request, entry to owner, bulk transfers only: longest time in milliseconds in which nothing may move. */
    static final AsciiString STALL_TIMEOUT_MILLIS = AsciiString.cached("berylwick-stall-ms");

    /** Response, owner to entry: see {@link #OUTCOME_ANSWERED} and the other words. */
    static final AsciiString OUTCOME = AsciiString.cached("berylwick-outcome");

    /** Response, owner to entry: why a request was not run. */
    static final AsciiString REASON = AsciiString.cached("berylwick-reason");

    /** Response, owner to entry: requests running and waiting at the owner. */
    static final AsciiString LOAD = AsciiString.cached("berylwick-load");

    /** The backend server answered. */
    static final String OUTCOME_ANSWERED = "answered";

    /** The backend server never saw the request. */
    static final String OUTCOME_NOT_RUN = "not-run";

    /** The request may have run. */
    static final String OUTCOME_UNKNOWN = "unknown";

    /** Milliseconds that the sender will still wait; set by callers, shortened on the way. */
    static final AsciiString TIMEOUT_MILLIS = AsciiString.cached("x-request-timeout-ms");

    /** Names a request from the caller to the backend server and back. */
    static final AsciiString REQUEST_ID = AsciiString.cached("x-request-id");

    /** Request, to the backend server: the brand that the request carries. */
    static final AsciiString BRAND = AsciiString.cached("x-brand");

    /** Request: names a request of the caller's that must run once in all, however often it is sent. */
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** Response: {@code true} on an answer that was given before to a request with the same key. */
    static final AsciiString IDEMPOTENCY_REPLAYED = AsciiString.cached("idempotency-replayed");

    /** Response of a backend server that shed a request without running it. */
    static final AsciiString SHED = AsciiString.cached("x-shed");

    private static final Set<AsciiString> HOP_BY_HOP = Set.of(
            HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"),
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            AsciiString.cached("proxy-connection"),
            HttpHeaderNames.TE,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE);

    private CallHeaders() {}

    /** Removes the headers that are about one connection only, also those that {@code Connection} names. */
    static void removeHopByHop(HttpHeadersBuilder headers) {
        for (String names : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : names.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(AsciiString.of(name.strip()).toLowerCase());
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }

    /** Removes the headers that only daemons may set: a caller could otherwise forge an outcome or a class. */
    static void removeInternal(HttpHeadersBuilder headers) {
        List<AsciiString> internalNames = headers.names().stream()
                .filter(n -> n.startsWith(INTERNAL_PREFIX))
                .toList();
        internalNames.forEach(headers::remove);
    }
}
