package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.transport.HttpResponseHandler.Origin;

/** Tells from the head of a backend server's response which request it belongs to. */
final class ResponseOrigin {
    private ResponseOrigin() {}

    /**
     * Returns which request a response belongs to. Only its id shows that. A response without one is taken for the own
     * on a connection that has carried no earlier request, since there is no other that it could belong to.
     *
     * @param head head of the response
     * @param id id of the request that waits for its response
     * @param names names of the headers exchanged with the backend server
     * @param connectionReused whether the connection has carried an earlier request
     */
    static Origin of(HttpResponse head, String id, HeaderNames names, boolean connectionReused) {
        List<String> ids = head.headers().getAll(names.requestId());
        if (ids.isEmpty()) {
            return connectionReused ? Origin.UNKNOWN : Origin.OWN;
        }
        if (ids.size() > 1 || head.headers().getAll(names.signature()).size() > 1) {
            return Origin.UNKNOWN;
        }
        return ids.get(0).equals(id) ? Origin.OWN : Origin.OTHER;
    }
}
