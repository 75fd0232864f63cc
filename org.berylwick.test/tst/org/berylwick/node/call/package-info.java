/** Tests of load balancing and retry decisions that need no sockets. */
package org.berylwick.node.call;
