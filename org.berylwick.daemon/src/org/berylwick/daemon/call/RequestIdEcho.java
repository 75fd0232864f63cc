package org.berylwick.daemon.call;

import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.List;

/**
 * Decides by the echoed request id whether a response of the backend server belongs to the request that awaits one.
 *
 * <p>A backend server may echo no ids; then only the order of responses tells. One that has echoed an id on a
 * connection is expected to do so in each response there: a response without an id may be a second response to an
 * earlier request.
 */
final class RequestIdEcho {
    private static final AttributeKey<Boolean> SEEN = AttributeKey.valueOf(RequestIdEcho.class, "seen");

    private RequestIdEcho() {}

    /** Returns whether the response that was received on the connection belongs to the request. */
    static boolean matches(Channel connection, ResponseHeaders headers, String requestId) {
        List<String> echoedIds = headers.getAll(CallHeaders.REQUEST_ID);
        if (echoedIds.isEmpty()) {
            return !connection.hasAttr(SEEN);
        }
        connection.attr(SEEN).set(true);
        return echoedIds.equals(List.of(requestId));
    }
}
