package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import java.util.Optional;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.MembershipView;
import org.berylwick.node.lib.RequestFingerprint;

/**
 * A caller's request, with the configuration and the members that were current when it arrived.
 *
 * @param requestId identifies the request on every hop
 * @param match brand, route, policy and service, all from the same configuration version
 * @param members members known when the request arrived
 * @param deadline time by which the caller must receive the headers of the final response
 * @param limit time limit for the rest of the response
 * @param headers request headers to forward, without those that must not be forwarded
 * @param body request body, sent with each attempt
 * @param context server-side context of the request
 */
record Call(
        String requestId,
        RouteMatch match,
        MembershipView members,
        Deadline deadline,
        TransferLimit limit,
        RequestHeaders headers,
        CallBody body,
        ServiceRequestContext context) {
    /** Creates the request of one attempt; it can be sent only once. */
    HttpRequest newRequest(RequestHeaders attemptHeaders) {
        return switch (body) {
            case CallBody.Buffered buffered ->
                buffered.content().isEmpty()
                        ? HttpRequest.of(attemptHeaders)
                        : HttpRequest.of(attemptHeaders, buffered.content());
            case CallBody.Streamed streamed -> streamed.request().withHeaders(attemptHeaders);
        };
    }

    /** Returns the fingerprint of the request, which needs the whole body; empty if that is streamed. */
    Optional<RequestFingerprint> fingerprint() {
        return body instanceof CallBody.Buffered(HttpData content)
                ? Optional.of(RequestFingerprint.of(
                        headers.method().name(), headers.authority(), headers.path(), content.byteBuf()))
                : Optional.empty();
    }

    /** Returns this call with another route match. */
    Call withMatch(RouteMatch newMatch) {
        return new Call(requestId, newMatch, members, deadline, limit, headers, body, context);
    }

    /** Returns this call with other headers. */
    Call withHeaders(RequestHeaders newHeaders) {
        return new Call(requestId, match, members, deadline, limit, newHeaders, body, context);
    }

    /** Returns this call with another body. */
    Call withBody(CallBody newBody) {
        return new Call(requestId, match, members, deadline, limit, headers, newBody, context);
    }

    /** Returns whether the caller cancelled the request or its connection is closed. */
    boolean isCallerDisconnected() {
        Channel channel = context.log().partial().channel();
        return context.isCancelled() || channel == null || !channel.isActive();
    }

    /** Returns whether the request can be sent more than once, which requires a buffered body. */
    boolean isReplayable() {
        return body instanceof CallBody.Buffered;
    }
}
