package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpRequest;
import java.util.Optional;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;
import org.berylwick.node.lib.RequestFingerprint;

/**
 * A request to the owner of a backend server, from another daemon or from the entry of the same daemon.
 *
 * @param requestId identifies the request on every hop
 * @param trafficClass determines the priority of the request for a slot
 * @param headDeadline deadline for the head of the response
 * @param transferLimit time limit of the transfer after the head of the response
 * @param fingerprint fingerprint of the request, empty if its body is streamed
 * @param knownCrashes crashes of the request in succession that the entry knows of
 * @param httpRequest request with the headers to forward to the backend server
 */
record OwnerRequest(
        String requestId,
        TrafficClass trafficClass,
        Deadline headDeadline,
        TransferLimit transferLimit,
        Optional<RequestFingerprint> fingerprint,
        int knownCrashes,
        HttpRequest httpRequest) {}
