/** Tests of the relay that fails connections. */
package org.berylwick.bench.relay;
