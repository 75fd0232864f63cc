package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpRequest;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.MembershipView;

/**
 * One request with all that was pinned at its start.
 *
 * @param requestId names it on every hop
 * @param match brand, route, policy and service, all of one version
 * @param members the members known at its start
 * @param deadline by when the caller has its final answer
 * @param request as it goes on, without the headers that must not travel
 * @param replayable whether the body can be sent more than once
 */
record Call(
        String requestId,
        RouteMatch match,
        MembershipView members,
        Deadline deadline,
        HttpRequest request,
        boolean replayable) {}
