package org.berylwick.node.call;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/** Which headers go from hop to hop. */
public final class Headers {
    /** What an entry tells an owner of a request; see {@link PeerCodec}. */
    static final String CALL = "bw-call";
    /** What an owner tells an entry of an attempt; see {@link PeerCodec}. */
    static final String OUTCOME = "bw-outcome";

    // Of a type that keeps its hash: each request looks all of them up, on both hops and both ways.
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
        AsciiString.cached(OUTCOME)
    };

    private static final DefaultHttpHeadersFactory WITHOUT_VALIDATION =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Headers() {}

    /** A copy without what concerns one connection only: the named ones and those that {@code Connection} lists. */
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

    /** No headers yet; names and values are not checked. */
    static HttpHeaders empty() {
        return WITHOUT_VALIDATION.newHeaders();
    }

    /** An unchecked copy, for a head of its own. */
    static HttpHeaders copy(HttpHeaders source) {
        return Headers.empty().add(source);
    }
}
