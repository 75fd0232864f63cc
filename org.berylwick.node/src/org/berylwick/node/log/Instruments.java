package org.berylwick.node.log;

/**
 * The metrics and the event log to which a component of the node reports.
 *
 * @param counters metrics of the node
 * @param log event log of the node
 */
public record Instruments(Counters counters, EventLog log) {}
