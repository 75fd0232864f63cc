package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.transport.RequestBody;

/**
 * One request on its way to a backend server.
 *
 * @param id request id that the caller set; a caller that retries uses a new one
 * @param method HTTP method as the caller sent it
 * @param uri path and query as the caller sent them
 * @param headers end-to-end headers as the caller sent them
 * @param body body, possibly still being received; each attempt sends it from its beginning
 * @param service service that is to run the request
 * @param callerService service on the VM where the request originated
 * @param requestClass class of the request's route
 * @param objectiveAt time by which the request should be answered to meet its latency objective, on the scale of
 *     {@link System#nanoTime}
 * @param deadlineAt time after which nobody waits for the response, on the same scale
 * @param maxWaitNanos longest time that the request may wait for a slot at the owner
 * @param attemptNumber number of this attempt, 1 for the first
 * @param knownCrashes number of backend servers in succession that are known to have ended while they ran the request
 * @param expectedResponseBytes expected size of the response, 0 if the response does not leave the VM
 * @param organisation the organisation that the request belongs to
 */
public record CallSpec(
        String id,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        RequestBody body,
        String service,
        String callerService,
        RequestClass requestClass,
        long objectiveAt,
        long deadlineAt,
        long maxWaitNanos,
        int attemptNumber,
        int knownCrashes,
        int expectedResponseBytes,
        OrganisationTag organisation) {
    /** Kind of the route, which tells whether the request may be run more than once. */
    public RouteKind kind() {
        return requestClass.kind();
    }

    /** Time left until the deadline. */
    long remainingNanos(long now) {
        return deadlineAt - now;
    }

    /** Computes the fingerprint of the request; empty if its body is incomplete or was released. */
    public Optional<RequestFingerprint> fingerprint() {
        return body.completeBytes()
                .map(bytes -> RequestFingerprint.of(method.name(), headers.get(HttpHeaderNames.HOST, ""), uri, bytes));
    }

    /** Priority, 0 the highest; that of the organisation takes precedence over that of the route. */
    public int priority() {
        return organisation.priorityOr(requestClass.priority());
    }

    /** Returns a copy of this request with another body. */
    public CallSpec withBody(RequestBody newBody) {
        return new CallSpec(
                id,
                method,
                uri,
                headers,
                newBody,
                service,
                callerService,
                requestClass,
                objectiveAt,
                deadlineAt,
                maxWaitNanos,
                attemptNumber,
                knownCrashes,
                expectedResponseBytes,
                organisation);
    }

    /**
     * Returns a copy of this request for another attempt.
     *
     * @param newAttemptNumber number of the attempt, 1 for the first
     * @param newMaxWaitNanos longest time that the request may wait for a slot at the owner
     * @param newResponseBytes expected size of the response on the owner's link, 0 if it does not use the link
     * @param newKnownCrashes number of backend servers in succession that are known to have ended while they ran it
     */
    public CallSpec forAttempt(int newAttemptNumber, long newMaxWaitNanos, int newResponseBytes, int newKnownCrashes) {
        return new CallSpec(
                id,
                method,
                uri,
                headers,
                body,
                service,
                callerService,
                requestClass,
                objectiveAt,
                deadlineAt,
                newMaxWaitNanos,
                newAttemptNumber,
                newKnownCrashes,
                newResponseBytes,
                organisation);
    }
}
