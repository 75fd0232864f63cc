/** Measures the limits of organisations over all nodes, in a loop without sockets. */
package org.berylwick.bench.quotas;
