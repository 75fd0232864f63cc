package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.MembershipView;

/**
 * One request with all that was pinned at its start.
 *
 * @param requestId names it on every hop
 * @param match brand, route, policy and service, all of one version
 * @param members the members known at its start
 * @param deadline by when the caller has the head of its final answer
 * @param limit what bounds the rest of the answer
 * @param headers as they go on, without those that must not travel
 * @param body to send with each attempt
 * @param context of the request at the server
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
    /** A request to send, which can be sent once. */
    HttpRequest newRequest(RequestHeaders attemptHeaders) {
        return switch (body) {
            case CallBody.Buffered buffered ->
                buffered.content().isEmpty()
                        ? HttpRequest.of(attemptHeaders)
                        : HttpRequest.of(attemptHeaders, buffered.content());
            case CallBody.Streamed streamed -> streamed.request().withHeaders(attemptHeaders);
        };
    }

    /** This call under another policy. */
    Call withMatch(RouteMatch newMatch) {
        return new Call(requestId, newMatch, members, deadline, limit, headers, body, context);
    }

    /** This call with other headers. */
    Call withHeaders(RequestHeaders newHeaders) {
        return new Call(requestId, match, members, deadline, limit, newHeaders, body, context);
    }

    /** This call with another body. */
    Call withBody(CallBody newBody) {
        return new Call(requestId, match, members, deadline, limit, headers, newBody, context);
    }

    /** Tells whether the caller's connection is gone. */
    boolean isCallerDisconnected() {
        Channel channel = context.log().partial().channel();
        return context.isCancelled() || channel == null || !channel.isActive();
    }

    /** Tells whether the body can be sent more than once. */
    boolean isReplayable() {
        return body instanceof CallBody.Buffered;
    }
}
