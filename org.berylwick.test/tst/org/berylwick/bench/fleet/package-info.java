/** Tests of the fleets that tests and measurements run. */
package org.berylwick.bench.fleet;
