package org.berylwick.daemon.call;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of the requests that the backend server has shed on a connection last.
 *
 * <p>A retry of such a request bears the same id. If it were sent on the same connection, a late second response to the
 * first attempt would read as its own: the request would count as not run once more while it runs.
 */
final class ShedRequests {
    private static final int MAX_IDS = 32;
    private static final AttributeKey<Set<String>> IDS = AttributeKey.valueOf(ShedRequests.class, "ids");

    private ShedRequests() {}

    static void add(Channel connection, String requestId) {
        connection.attr(IDS).setIfAbsent(Collections.synchronizedSet(new LinkedHashSet<>()));
        Set<String> ids = connection.attr(IDS).get();
        synchronized (ids) {
            if (ids.size() == MAX_IDS) {
                ids.remove(ids.iterator().next());
            }
            ids.add(requestId);
        }
    }

    static boolean contains(Channel connection, String requestId) {
        return connection.hasAttr(IDS) && connection.attr(IDS).get().contains(requestId);
    }
}
