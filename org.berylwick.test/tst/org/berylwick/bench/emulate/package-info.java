/** Plays loads on the nodes' decisions without a network. */
package org.berylwick.bench.emulate;
