package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.transport.HttpResponseHandler.Origin;

/** What the head of a backend server's response states. */
final class BackendResponseHead {
    private BackendResponseHead() {}

    /**
     * Returns which request a response belongs to. Only its id shows that. A response without one is taken for the own
     * on a connection that has carried no earlier request, since there is no other that it could belong to.
     *
     * @param head head of the response
     * @param id id of the request that waits for its response
     * @param names names of the headers exchanged with the backend server
     * @param connectionReused whether the connection has carried an earlier request
     * @param statusLineInValue whether the value of a header contains a status line; then a refusal, after which the
     *     request is sent elsewhere, may be part of another response
     */
    static Origin originOf(
            HttpResponse head, String id, HeaderNames names, boolean connectionReused, boolean statusLineInValue) {
        List<String> ids = head.headers().getAll(names.requestId());
        if (ids.isEmpty()) {
            return connectionReused ? Origin.UNKNOWN : Origin.OWN;
        }
        boolean repeated =
                ids.size() > 1 || head.headers().getAll(names.signature()).size() > 1;
        if (repeated || statusLineInValue && isRefusal(head, names)) {
            return Origin.UNKNOWN;
        }
        return ids.get(0).equals(id) ? Origin.OWN : Origin.OTHER;
    }

    /** Whether the backend server states that it has not run the request. */
    static boolean isRefusal(HttpResponse head, HeaderNames names) {
        return head.headers().contains(names.notExecuted()) || head.status().code() == 421;
    }

    /** Whether a response is a success without an id, a signature or a plain body. */
    static boolean isInvalidSuccess(HttpResponse head, HeaderNames names) {
        HttpHeaders headers = head.headers();
        return head.status().code() < 300
                && (!headers.contains(names.requestId())
                        || !headers.contains(names.signature())
                        || headers.contains("Content-Encoding"));
    }
}
