package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeadersBuilder;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Set;

/** Headers that daemons set on requests and responses, and removal of headers that must not be forwarded. */
final class CallHeaders {
    /** Prefix of internal headers, which only daemons may set. */
    static final String INTERNAL_PREFIX = "berylwick-";

    /** Request, entry to owner: the intended instance, so that an address reused by another instance is detected. */
    static final AsciiString INSTANCE = AsciiString.cached("berylwick-instance");

    /** Request, entry to owner: name of the traffic class. */
    static final AsciiString TRAFFIC_CLASS = AsciiString.cached("berylwick-class");

    /** Request, entry to owner: milliseconds within which the response headers must arrive. */
    static final AsciiString RESPONSE_START_TIMEOUT_MILLIS = AsciiString.cached("berylwick-head-ms");

    /** Request, entry to owner, bulk transfers only: maximum milliseconds without progress of the body. */
    static final AsciiString STALL_TIMEOUT_MILLIS = AsciiString.cached("berylwick-stall-ms");

    /** Request, entry to owner: fingerprint of the request, if its body is buffered. */
    static final AsciiString FINGERPRINT = AsciiString.cached("berylwick-fingerprint");

    /** Request, entry to owner: crashes of the request in succession that the entry knows of, if there are any. */
    static final AsciiString KNOWN_CRASHES = AsciiString.cached("berylwick-known-crashes");

    /** Both ways, any number: a crash of a request that the sender holds back; see {@link CrashGuard}. */
    static final AsciiString CRASH = AsciiString.cached("berylwick-crash");

    /** Response, owner to entry: one of the {@code OUTCOME_} values. */
    static final AsciiString OUTCOME = AsciiString.cached("berylwick-outcome");

    /** Response, owner to entry: reason why the request was not run. */
    static final AsciiString REASON = AsciiString.cached("berylwick-reason");

    /** Response, owner to entry: number of requests running and queued at the owner. */
    static final AsciiString LOAD = AsciiString.cached("berylwick-load");

    /** Value of {@link #OUTCOME}: the backend server responded. */
    static final String OUTCOME_ANSWERED = "answered";

    /** Value of {@link #OUTCOME}: the backend server never received the request. */
    static final String OUTCOME_NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME}: the request may have run. */
    static final String OUTCOME_UNKNOWN = "unknown";

    /** Request: milliseconds for which the sender will still wait; set by callers, reduced on every hop. */
    static final AsciiString TIMEOUT_MILLIS = AsciiString.cached("x-request-timeout-ms");

    /** Request and response: identifies a request on every hop between caller and backend server. */
    static final AsciiString REQUEST_ID = AsciiString.cached("x-request-id");

    /** Request, to the backend server: name of the brand that the request belongs to. */
    static final AsciiString BRAND = AsciiString.cached("x-brand");

    /** Request: key chosen by the caller; requests that repeat it must be run only once in total. */
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** Response: {@code true} if this is the stored response to an earlier request with the same key. */
    static final AsciiString IDEMPOTENCY_REPLAYED = AsciiString.cached("idempotency-replayed");

    /** Response, from the backend server: it shed the request without running it. */
    static final AsciiString SHED = AsciiString.cached("x-shed");

    /** Response, from the backend server: requests per second that it accepts from all daemons together. */
    static final AsciiString RATE = AsciiString.cached("x-request-rate");

    /** Response, from the backend server: {@code 1} if it is about to stop. */
    static final AsciiString LEAVING = AsciiString.cached("x-leaving");

    /** Value of {@link #LEAVING}. */
    static final String LEAVING_STATED = "1";

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

    /** Removes hop-by-hop headers, including those listed in {@code Connection}. */
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

    /** Removes internal headers; otherwise a caller could forge an outcome or a traffic class. */
    static void removeInternal(HttpHeadersBuilder headers) {
        List<AsciiString> internalNames = headers.names().stream()
                .filter(n -> n.startsWith(INTERNAL_PREFIX))
                .toList();
        internalNames.forEach(headers::remove);
    }
}
