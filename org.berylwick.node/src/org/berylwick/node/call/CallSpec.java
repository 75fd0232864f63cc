package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.transport.RequestBody;

/**
 * One request on its way to a backend server.
 *
 * @param id of the caller's attempt
 * @param method as sent
 * @param uri path and query as sent
 * @param headers end-to-end headers as sent
 * @param body as it comes; each attempt sends it from its beginning
 * @param service that is to run it
 * @param callerService on the VM where it began
 * @param requestClass the class of its route
 * @param objectiveAt when its latency objective ends, {@link System#nanoTime} terms
 * @param deadlineAt when nobody waits any more
 * @param maxWaitNanos the longest it may wait for a slot at the owner
 * @param attemptNumber 1 for the first backend server it is sent to
 * @param expectedResponseBytes that its answer is expected to have, 0 if it does not leave the VM
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
        int expectedResponseBytes) {
    /** What may be repeated. */
    public RouteKind kind() {
        return requestClass.kind();
    }

    /** Rank, 0 the highest. */
    public int priority() {
        return requestClass.priority();
    }

    /** The same request with its body as it comes here. */
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
                expectedResponseBytes);
    }

    /**
     * The same request for another attempt.
     *
     * @param newAttemptNumber 1 for the first
     * @param newMaxWaitNanos the longest it may wait for a slot at the owner
     * @param newResponseBytes that its answer is expected to send over the owner's link
     */
    public CallSpec forAttempt(int newAttemptNumber, long newMaxWaitNanos, int newResponseBytes) {
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
                newResponseBytes);
    }
}
