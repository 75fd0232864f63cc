package org.berylwick.node.call;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/** Tells hop-by-hop headers from end-to-end headers. */
public final class Headers {
    /** Header with which an entry describes a request to an owner; see {@link PeerCodec}. */
    static final String CALL = "bw-call";
    /** Header with which an owner reports the outcome of an attempt to the entry; see {@link PeerCodec}. */
    static final String OUTCOME = "bw-outcome";
    /** Header with which an owner names the request whose outcome it reports. */
    static final String REQUEST = "bw-request";

    /** Header with which an entry names the organisation that a request belongs to; see {@link PeerCodec}. */
    static final String ORGANISATION = "bw-organisation";

    /** Header in which an entry tells an owner how many crashes of a request it knows of, if there are any. */
    static final String KNOWN_CRASHES = "bw-known-crashes";
    /** Header with which an owner reports that its backend server ended while it ran the request. */
    static final String CRASH = "bw-crash";

    // AsciiString caches its hash code: all of these are looked up for each request, on both hops in both directions.
    private static final AsciiString[] HOP_BY_HOP = {
        AsciiString.cached("Connection"),
        AsciiString.cached("Keep-Alive"),
        AsciiString.cached("Proxy-Connection"),
        AsciiString.cached("Proxy-Authenticate"),
        AsciiString.cached("Proxy-Authorization"),
        AsciiString.cached("TE"),
        AsciiString.cached("Trailer"),
        AsciiString.cached("Transfer-Encoding"),
        AsciiString.cached("Upgrade"),
        AsciiString.cached("Content-Length"),
        AsciiString.cached("Expect"),
        AsciiString.cached(CALL),
        AsciiString.cached(OUTCOME),
        AsciiString.cached(REQUEST),
        AsciiString.cached(ORGANISATION),
        AsciiString.cached(KNOWN_CRASHES),
        AsciiString.cached(CRASH)
    };

    private static final DefaultHttpHeadersFactory WITHOUT_VALIDATION =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Headers() {}

    /** Returns a copy without the hop-by-hop headers: the ones above and those that {@code Connection} lists. */
    public static HttpHeaders endToEnd(HttpHeaders source) {
        HttpHeaders endToEnd = copy(source);
        String connectionOptions = source.get(HttpHeaderNames.CONNECTION);
        if (connectionOptions != null
                && !"close".equalsIgnoreCase(connectionOptions)
                && !"keep-alive".equalsIgnoreCase(connectionOptions)) {
            for (String name : connectionOptions.split(",")) {
                endToEnd.remove(name.strip());
            }
        }
        for (AsciiString name : HOP_BY_HOP) {
            endToEnd.remove(name);
        }
        return endToEnd;
    }

    /** Returns new, empty headers, which do not validate names and values. */
    static HttpHeaders empty() {
        return WITHOUT_VALIDATION.newHeaders();
    }

    /** Returns a copy for another message; it does not validate names and values. */
    static HttpHeaders copy(HttpHeaders source) {
        return Headers.empty().add(source);
    }
}
