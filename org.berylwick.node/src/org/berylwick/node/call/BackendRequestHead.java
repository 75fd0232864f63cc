package org.berylwick.node.call;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.transport.HttpConnection;

/** The head of a request as its backend server receives it. */
final class BackendRequestHead {
    private BackendRequestHead() {}

    /**
     * Creates the head.
     *
     * @param call the request
     * @param names names of the headers exchanged with the backend server
     * @param incarnationId incarnation that the request is addressed to; any other one rejects it
     * @param remainingMillis time until the deadline for the response
     */
    static HttpRequest of(CallSpec call, HeaderNames names, String incarnationId, long remainingMillis) {
        HttpHeaders headers = Headers.copy(call.headers());
        headers.set(names.deadline(), remainingMillis);
        headers.set(names.targetIncarnation(), incarnationId);
        headers.set(names.callerService(), call.callerService());
        if (call.organisation().isPresent()) {
            headers.set(names.organisation(), call.organisation().name());
        }
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), headers);
        HttpConnection.setContentLength(head, call.body().length());
        return head;
    }
}
