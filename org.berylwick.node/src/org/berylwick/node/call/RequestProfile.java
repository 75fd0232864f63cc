package org.berylwick.node.call;

import org.berylwick.node.lib.RequestClass;

/**
 * What is known of a request before it is sent.
 *
 * @param requestClass the class of its route
 * @param expectedBytes of its answer and its body
 * @param expectedNanos that a backend server of usual speed takes, without a wait
 * @param objectiveRemainingNanos until its latency objective ends; below zero if that has passed
 * @param deadlineRemainingNanos until its deadline
 * @param maxWaitNanos that it may yet wait for slots, in all
 * @param callerRetryProbability the chance that its caller comes back if it is refused
 * @param finalAttempt whether nobody else is asked if this owner refuses
 */
record RequestProfile(
        RequestClass requestClass,
        double expectedBytes,
        double expectedNanos,
        long objectiveRemainingNanos,
        long deadlineRemainingNanos,
        long maxWaitNanos,
        double callerRetryProbability,
        boolean finalAttempt) {}
