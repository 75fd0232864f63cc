/** Fleets of stand-ins and daemons as child processes on loopback. */
package org.berylwick.bench.fleet;
