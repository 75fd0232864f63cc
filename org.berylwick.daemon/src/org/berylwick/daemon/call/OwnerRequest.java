package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpRequest;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;

/**
 * A request as it reaches the owner of a backend server, from another daemon or from its own entry.
 *
 * @param requestId names it on every hop
 * @param trafficClass decides its place in the queue for a slot
 * @param headDeadline by when the head of the answer must be there
 * @param transferLimit what bounds the rest of the answer
 * @param httpRequest with the headers that go to the backend server
 */
record OwnerRequest(
        String requestId,
        TrafficClass trafficClass,
        Deadline headDeadline,
        TransferLimit transferLimit,
        HttpRequest httpRequest) {}
