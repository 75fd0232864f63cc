package org.berylwick.node.call;

import org.berylwick.node.lib.RequestClass;

/**
 * Properties of a request that determine which node runs it.
 *
 * @param requestClass class of the request
 * @param expectedBytes expected size of the request body and the response
 * @param expectedNanos expected response time of a backend server of average speed, without queueing
 * @param objectiveRemainingNanos time left until its latency objective; negative if that has passed
 * @param deadlineRemainingNanos time left until its deadline
 * @param maxWaitNanos total time that it may still wait for slots
 * @param callerRetryProbability probability that the caller retries if the request is refused
 * @param isCall whether a backend server makes the request while it runs another, which fails if this one is refused
 * @param finalAttempt whether no other node is tried if the chosen one refuses the request
 */
record RequestProfile(
        RequestClass requestClass,
        double expectedBytes,
        double expectedNanos,
        long objectiveRemainingNanos,
        long deadlineRemainingNanos,
        long maxWaitNanos,
        double callerRetryProbability,
        boolean isCall,
        boolean finalAttempt) {}
