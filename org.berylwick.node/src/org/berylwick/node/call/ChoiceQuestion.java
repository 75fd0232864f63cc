package org.berylwick.node.call;

import org.berylwick.node.lib.RouteKind;

/**
 * What is known of a request before it is sent.
 *
 * @param kind what may be repeated
 * @param priority rank, 0 the highest
 * @param expectedBytes of its answer and its body
 * @param expectedNanos that a backend server of usual speed takes, without a wait
 * @param objectiveNanos until its latency objective ends; below zero if that has passed
 * @param leftNanos until its deadline
 * @param mayReturn whether its caller will come back if it is refused
 * @param last whether nobody else is asked if this owner refuses
 */
record ChoiceQuestion(
        RouteKind kind,
        int priority,
        double expectedBytes,
        double expectedNanos,
        long objectiveNanos,
        long leftNanos,
        boolean mayReturn,
        boolean last) {}
