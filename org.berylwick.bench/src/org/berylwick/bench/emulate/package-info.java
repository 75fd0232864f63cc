/**
 * Plays load on the node's own decisions in virtual time: entries, owners, their queues and budgets are the real
 * classes; callers, backend servers and the way between nodes are made here.
 */
package org.berylwick.bench.emulate;
